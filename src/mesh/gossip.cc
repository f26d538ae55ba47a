#include "mesh/gossip.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json-decode.h"
#include "base/log.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMessageTimeout = std::chrono::milliseconds(800);
/// A message without an answer is sent again after this time. The receiver
/// merges versioned state, so a second copy changes nothing.
constexpr duration kMessageResendTime = std::chrono::milliseconds(250);
constexpr duration kProbeTimeout = std::chrono::milliseconds(350);
/// A probe without an answer is sent again after this time: an open connection
/// may be silent, or a packet of a new one lost, although the host is there.
constexpr duration kProbeResendTime = std::chrono::milliseconds(100);
constexpr duration kProbePeriod = std::chrono::milliseconds(500);
constexpr duration kComparePeriod = std::chrono::milliseconds(2500);
/// Minimum time between two comparisons with a host whose record seems out of
/// date.
constexpr duration kMinCompareInterval = std::chrono::milliseconds(300);
/// Updates go directly to all nodes of the own failure domain while it has at
/// most this many other nodes.
constexpr std::size_t kMaxDirectHosts = 32;
/// Random nodes that each node sends updates to in a larger failure domain.
constexpr std::size_t kFanout = 6;
/// Nodes of each other failure domain that receive an update directly.
constexpr std::size_t kOtherDomainFanout = 2;
/// One periodic comparison in this many is with a host of another failure
/// domain.
constexpr unsigned kCrossDomainCompareOneIn = 3;

constexpr const char* kEvacuationsField = "evacuated";
/// Milliseconds since the store has told the sender that its configuration is
/// the latest one.
constexpr const char* kStoreAgeField = "store_age_ms";
/// Older knowledge of the store is of no use to others.
constexpr duration kMaxSentStoreAge = std::chrono::minutes(1);

void
AddDepartures(json& aMessage, const std::vector<host_departure>& aDepartures)
{
  for (const host_departure& departure : aDepartures) {
    aMessage["departures"].push_back(EncodeDeparture(departure));
  }
}

/// How long ago the sender's configuration was the latest one in the store, if
/// it knows.
std::optional<duration>
StoreAgeIn(const json& aMessage)
{
  if (!aMessage.contains(kStoreAgeField)) {
    return std::nullopt;
  }
  std::chrono::milliseconds age(TimeIn(aMessage.at(kStoreAgeField)));
  return age <= kMaxSentStoreAge ? std::optional<duration>(age) : std::nullopt;
}

void
LogSkipped(const error& aError)
{
  LogEvent(
    log_level::warning, "peer_entry_skipped", { { "reason", aError.message } });
}

} // namespace

gossip::gossip(loop& aLoop,
               control_client& aClient,
               host_directory& aDirectory,
               const version_selector& aVersions,
               crash_table& aCrashes,
               evacuation_table& aEvacuations,
               proxy_counters& aCounters,
               gossip_delegate& aDelegate)
  : mLoop(aLoop)
  , mClient(aClient)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCrashes(aCrashes)
  , mEvacuations(aEvacuations)
  , mCounters(aCounters)
  , mDelegate(aDelegate)
{
}

void
gossip::Start()
{
  mLoop.RunEvery(kProbePeriod, [this] { ProbeUnreachable(); });
  mLoop.RunEvery(kComparePeriod, [this] { CompareWithRandomHost(); });
}

void
gossip::OnUnreachable(std::function<void(const std::string&)> aHandler)
{
  mOnUnreachable = std::move(aHandler);
}

std::vector<std::string>
gossip::ReachableHosts() const
{
  std::vector<std::string> names;
  for (const auto& [name, host] : mDirectory.All()) {
    if (name != mDirectory.Self() && !host.unreachable) {
      names.push_back(name);
    }
  }
  return names;
}

bool
gossip::IsInOwnDomain(const std::string& aName) const
{
  const known_host* self = mDirectory.Find(mDirectory.Self());
  const known_host* other = mDirectory.Find(aName);
  return self != nullptr && other != nullptr &&
         self->record.domain == other->record.domain;
}

std::vector<std::string>
gossip::OwnDomainHosts() const
{
  std::vector<std::string> names = ReachableHosts();
  std::erase_if(
    names, [this](const std::string& aName) { return !IsInOwnDomain(aName); });
  return names;
}

std::vector<std::string>
gossip::OwnDomainTargets()
{
  std::vector<std::string> names = OwnDomainHosts();
  if (names.size() > kMaxDirectHosts) {
    std::shuffle(names.begin(), names.end(), mRandom);
    names.resize(kFanout);
  }
  return names;
}

std::vector<std::string>
gossip::NextAnnounceTargets()
{
  std::vector<std::string> names = OwnDomainHosts();
  if (names.size() <= kMaxDirectHosts) {
    return names;
  }
  std::size_t first = mNextAnnounced % names.size();
  std::rotate(names.begin(),
              names.begin() + static_cast<std::ptrdiff_t>(first),
              names.end());
  mNextAnnounced = (first + kMaxDirectHosts) % names.size();
  names.resize(kMaxDirectHosts);
  return names;
}

std::vector<std::string>
gossip::OtherDomainTargets(std::size_t aPerDomain)
{
  std::vector<std::string> names = ReachableHosts();
  std::shuffle(names.begin(), names.end(), mRandom);
  std::map<std::string, std::size_t> chosen;
  std::erase_if(names, [&](const std::string& aName) {
    return IsInOwnDomain(aName) ||
           ++chosen[mDirectory.Find(aName)->record.domain] > aPerDomain;
  });
  return names;
}

void
gossip::Broadcast(const json& aMessage)
{
  std::string text = aMessage.dump();
  for (const std::string& name : OwnDomainTargets()) {
    Send(name, text);
  }
  for (const std::string& name : OtherDomainTargets(kOtherDomainFanout)) {
    Send(name, text);
  }
}

void
gossip::Forward(const json& aMessage, const std::string& aFrom)
{
  if (IsInOwnDomain(aFrom) && OwnDomainHosts().size() <= kMaxDirectHosts) {
    return; // the sender has sent it to all nodes of this failure domain
  }
  std::string text = aMessage.dump();
  for (const std::string& name : OwnDomainTargets()) {
    if (name != aFrom) {
      Send(name, text);
    }
  }
}

json
gossip::MessageHeader() const
{
  const config_knowledge& config = mDelegate.Configuration();
  json header = { { "from", mDirectory.Self() }, { "config", config.version } };
  // Not what other nodes have told: with each one that passes it on, it would
  // seem younger by the time that messages take.
  std::optional<duration> age = config.ReadAge(mLoop.Now());
  if (age && *age <= kMaxSentStoreAge) {
    header[kStoreAgeField] = Milliseconds(*age);
  }
  if (mEvacuations.IsKnown()) {
    header[kEvacuationsField] = EncodeEvacuations(mEvacuations.Snapshot());
  }
  return header;
}

void
gossip::SpreadConfigVersion(bool aWatcher)
{
  std::string text = MessageHeader().dump();
  for (const std::string& name : NextAnnounceTargets()) {
    Send(name, text);
  }
  if (!aWatcher) {
    return;
  }
  std::vector<std::string> otherTargets = OtherDomainTargets(1);
  if (!otherTargets.empty()) {
    Send(otherTargets.front(), text);
  }
}

void
gossip::ForwardConfigVersion(const std::string& aFrom)
{
  Forward(MessageHeader(), aFrom);
}

void
gossip::SpreadHost(const host_record& aRecord)
{
  json message = MessageHeader();
  message["hosts"] = json::array({ EncodeHostRecord(aRecord) });
  Broadcast(message);
}

void
gossip::SpreadCanary(const canary_rollout& aCanary)
{
  json message = MessageHeader();
  message["moves"] = json::array({ EncodeCanary(aCanary, mLoop.Now()) });
  Broadcast(message);
}

void
gossip::SpreadCrashes(const std::vector<crash_record>& aRecords)
{
  json message = MessageHeader();
  message["crashes"] = EncodeCrashes(aRecords);
  Broadcast(message);
}

void
gossip::SpreadEvacuations()
{
  Broadcast(MessageHeader());
}

bool
gossip::MergeEvacuations(const json& aMessage)
{
  if (!aMessage.contains(kEvacuationsField)) {
    return false;
  }
  result<evacuation_snapshot> snapshot =
    DecodeEvacuations(aMessage.at(kEvacuationsField));
  if (!snapshot) {
    LogSkipped(snapshot.error());
    return false;
  }
  bool changed = mEvacuations.Merge(*snapshot);
  if (changed) {
    mDelegate.OnEvacuationsChanged();
  }
  return changed;
}

std::vector<host_departure>
gossip::MergeDepartures(const json& aMessage)
{
  std::vector<host_departure> updates;
  for (const json& entry : aMessage.value("departures", json::array())) {
    result<host_departure> departure = DecodeDeparture(entry);
    if (!departure) {
      LogSkipped(departure.error());
      continue;
    }
    const auto& [host, instance] = *departure;
    if (mDirectory.RecordLeaving(host, instance, mLoop.Now())) {
      updates.push_back(*departure);
    }
    if (host == mDirectory.Self()) {
      mDelegate.OnInstanceLeft(instance);
    }
  }
  return updates;
}

json
gossip::EncodeCrashes(const std::vector<crash_record>& aRecords) const
{
  json encoded = json::array();
  for (const crash_record& record : aRecords) {
    encoded.push_back(EncodeCrash(record, mLoop.Now()));
  }
  return encoded;
}

std::vector<crash_record>
gossip::MergeCrashes(const json& aMessage)
{
  std::vector<crash_record> updates;
  for (const json& entry : aMessage.value("crashes", json::array())) {
    result<crash_record> record = DecodeCrash(entry, mLoop.Now());
    if (!record) {
      LogSkipped(record.error());
    } else if (mCrashes.Merge(*record, mLoop.Now())) {
      updates.push_back(*record);
    }
  }
  return updates;
}

std::string
gossip::EncodeMessage(bool aWithDigest) const
{
  json message = MessageHeader();
  const known_host* self = mDirectory.Find(mDirectory.Self());
  if (self != nullptr) {
    message["hosts"] = json::array({ EncodeHostRecord(self->record) });
  }
  for (const auto& [service, canary] : mVersions.Canaries()) {
    message["moves"].push_back(EncodeCanary(canary, mLoop.Now()));
  }
  if (aWithDigest) {
    json known = json::object();
    for (const auto& [name, host] : mDirectory.All()) {
      known[name] = { host.record.incarnation, host.record.sequence };
    }
    message["known"] = std::move(known);
    message["known_crashes"] = mCrashes.Digest();
  }
  return message.dump();
}

void
gossip::ReportLostEntry(const std::string& aName)
{
  json message = MessageHeader();
  message["dropped"] = true;
  Send(aName, message.dump());
}

void
gossip::CompareWith(const std::string& aName)
{
  Send(aName, EncodeMessage(true));
}

void
gossip::CompareAtStart()
{
  CompareWithOneOf(OwnDomainTargets());
  CompareWithOneOf(OtherDomainTargets(1));
}

void
gossip::CompareWithOneOf(const std::vector<std::string>& aNames)
{
  if (!aNames.empty()) {
    CompareWith(aNames[mRandom() % aNames.size()]);
  }
}

void
gossip::CompareUnlessRecent(const std::string& aName)
{
  time_point now = mLoop.Now();
  time_point& lastCompared = mLastCompared[aName];
  if (now - lastCompared < kMinCompareInterval) {
    return;
  }
  lastCompared = now;
  CompareWith(aName);
}

void
gossip::CompareWithRandomHost()
{
  std::vector<std::string> ownTargets = OwnDomainTargets();
  std::vector<std::string> otherTargets = OtherDomainTargets(1);
  bool crossDomain =
    ownTargets.empty() || mRandom() % kCrossDomainCompareOneIn == 0;
  CompareWithOneOf(crossDomain && !otherTargets.empty() ? otherTargets
                                                        : ownTargets);
}

void
gossip::Send(const std::string& aName, const std::string& aBody)
{
  const known_host* host = mDirectory.Find(aName);
  if (host == nullptr) {
    return;
  }
  mCounters.Add(proxy_event::peer_message);
  buffered_request request;
  request.method = "POST";
  request.target = "/v1/gossip";
  request.body = aBody;
  mClient.Call(host->record.control,
               std::move(request),
               call_options{ .timeout = kMessageTimeout,
                             .resend_after = kMessageResendTime },
               [this, aName](result<buffered_response> aResponse) {
                 if (!aResponse || aResponse->status != status::kOk) {
                   mCounters.Add(proxy_event::peer_failed);
                   Probe(aName);
                   return;
                 }
                 if (!aResponse->body.empty()) {
                   result<std::string> handled = HandleMessage(aResponse->body);
                   if (!handled) {
                     LogEvent(log_level::warning,
                              "peer_answer_skipped",
                              { { "host", aName },
                                { "reason", handled.error().message } });
                   }
                 }
               });
}

void
gossip::Probe(const std::string& aName)
{
  Probe(aName, 0);
}

void
gossip::ProbeTwice(const std::string& aName)
{
  Probe(aName, 1);
}

void
gossip::Probe(const std::string& aName, unsigned aMissesAllowed)
{
  const known_host* host = mDirectory.Find(aName);
  if (host == nullptr || !mProbing.insert(aName).second) {
    return;
  }
  buffered_request request;
  request.target = "/v1/ping";
  mClient.Call(
    host->record.control,
    std::move(request),
    call_options{ .timeout = kProbeTimeout, .resend_after = kProbeResendTime },
    [this, aName, aMissesAllowed](result<buffered_response> aResponse) {
      mProbing.erase(aName);
      if (!aResponse && aMissesAllowed > 0) {
        Probe(aName, aMissesAllowed - 1);
        return;
      }
      if (aResponse) {
        if (mDirectory.MarkReachable(aName)) {
          LogEvent(log_level::info, "host_regained", { { "host", aName } });
          CompareWith(aName);
          mDelegate.OnHostsChanged();
        }
        return;
      }
      const known_host* known = mDirectory.Find(aName);
      if (known == nullptr || known->unreachable) {
        return;
      }
      LogEvent(log_level::warning,
               "host_lost",
               { { "host", aName }, { "reason", aResponse.error().message } });
      mDirectory.MarkUnreachable(aName, mLoop.Now());
      mDelegate.OnHostsChanged();
      if (mOnUnreachable) {
        mOnUnreachable(aName);
      }
    });
}

void
gossip::ProbeUnreachable()
{
  std::vector<std::string> names;
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.unreachable) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    Probe(name);
  }
}

result<std::string>
gossip::HandleMessage(const std::string& aBody)
{
  return DecodeJsonText<std::string>(
    "gossip message", aBody, [this](const json& aMessage) {
      return ProcessMessage(aMessage);
    });
}

std::vector<host_record>
gossip::MergeHosts(const json& aMessage)
{
  std::vector<host_record> updates;
  for (const json& entry : aMessage.value("hosts", json::array())) {
    result<host_record> record = DecodeHostRecord(entry);
    if (!record) {
      LogSkipped(record.error());
      continue;
    }
    if (record->name == mDirectory.Self()) {
      HandleOwnRecord(*record);
    } else if (mDirectory.Merge(*record, mLoop.Now())) {
      updates.push_back(std::move(*record));
    }
  }
  return updates;
}

void
gossip::HandleOwnRecord(const host_record& aCopy)
{
  const known_host* self = mDirectory.Find(mDirectory.Self());
  if (self != nullptr && IsNewer(aCopy, self->record)) {
    mDelegate.OnNewerOwnRecord(aCopy);
  }
}

bool
gossip::IsNewerCanary(const canary_rollout& aCanary) const
{
  const canary_rollout* known = mVersions.CanaryOf(aCanary.service);
  return known == nullptr || aCanary.order_id > known->order_id ||
         (aCanary.order_id == known->order_id && aCanary.phase > known->phase);
}

std::vector<canary_rollout>
gossip::MergeCanaries(const json& aMessage)
{
  std::vector<canary_rollout> updates;
  for (const json& entry : aMessage.value("moves", json::array())) {
    result<canary_rollout> canary = DecodeCanary(entry, mLoop.Now());
    if (!canary) {
      LogSkipped(canary.error());
      continue;
    }
    if (IsNewerCanary(*canary)) {
      updates.push_back(std::move(*canary));
    }
  }
  if (!updates.empty()) {
    mDelegate.OnCanaryUpdates(updates);
  }
  return updates;
}

std::string
gossip::ProcessMessage(const json& aMessage)
{
  auto from = aMessage.at("from").get<std::string>();
  bool changed = mDirectory.MarkReachable(from);
  bool wasRemoved = mDirectory.WasRemoved(from);
  std::vector<host_record> hosts = MergeHosts(aMessage);
  std::vector<canary_rollout> canaries = MergeCanaries(aMessage);
  if (changed) {
    CompareUnlessRecent(from); // it may have missed updates while unreachable
  }
  if (changed || !hosts.empty()) {
    mDelegate.OnHostsChanged();
  }
  std::vector<crash_record> crashes = MergeCrashes(aMessage);
  std::vector<host_departure> departures = MergeDepartures(aMessage);
  bool evacuationsChanged = MergeEvacuations(aMessage);
  ForwardNews(hosts, canaries, crashes, departures, evacuationsChanged, from);
  std::uint64_t config =
    UnsignedIn<std::uint64_t>(aMessage.value("config", json(0)));
  mLatestPeerConfig = std::max(mLatestPeerConfig.value_or(0), config);
  const known_host* sender = mDirectory.Find(from);
  if (sender != nullptr) {
    mDelegate.OnConfigAnnounced(sender->record, config, StoreAgeIn(aMessage));
  }
  if (aMessage.value("dropped", false)) {
    mDelegate.OnRemovedByOthers();
  }
  if (aMessage.contains("known")) {
    return AnswerToDigest(aMessage, wasRemoved);
  }
  std::optional<host_departure> departure =
    mDirectory.UnreportedDeparture(from);
  if (!departure) {
    return "";
  }
  json answer = MessageHeader();
  AddDepartures(answer, { *departure });
  return answer.dump();
}

void
gossip::ForwardNews(const std::vector<host_record>& aHosts,
                    const std::vector<canary_rollout>& aCanaries,
                    const std::vector<crash_record>& aCrashes,
                    const std::vector<host_departure>& aDepartures,
                    bool aEvacuationsChanged,
                    const std::string& aFrom)
{
  if (aHosts.empty() && aCanaries.empty() && aCrashes.empty() &&
      aDepartures.empty() && !aEvacuationsChanged) {
    return;
  }
  json updates = MessageHeader();
  for (const host_record& record : aHosts) {
    updates["hosts"].push_back(EncodeHostRecord(record));
  }
  for (const canary_rollout& canary : aCanaries) {
    updates["moves"].push_back(EncodeCanary(canary, mLoop.Now()));
  }
  if (!aCrashes.empty()) {
    updates["crashes"] = EncodeCrashes(aCrashes);
  }
  AddDepartures(updates, aDepartures);
  Forward(updates, aFrom);
}

std::string
gossip::AnswerToDigest(const json& aMessage, bool aWasRemoved) const
{
  const json& digest = aMessage.at("known");
  json answer = MessageHeader();
  if (aWasRemoved) {
    answer["dropped"] = true;
  }
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.unreachable) {
      continue; // the record may be out of date
    }
    if (digest.contains(name)) {
      host_record theirs;
      theirs.incarnation = digest.at(name).at(0).get<std::int64_t>();
      theirs.sequence = digest.at(name).at(1).get<std::uint64_t>();
      if (!IsNewer(host.record, theirs)) {
        continue;
      }
    }
    answer["hosts"].push_back(EncodeHostRecord(host.record));
  }
  for (const auto& [service, canary] : mVersions.Canaries()) {
    answer["moves"].push_back(EncodeCanary(canary, mLoop.Now()));
  }
  std::uint64_t crashes = mCrashes.Digest();
  if (aMessage.value("known_crashes", crashes) != crashes) {
    answer["crashes"] = EncodeCrashes(mCrashes.Records());
  }
  AddDepartures(answer, mDirectory.UnreportedDepartures());
  return answer.dump();
}

} // namespace eelgrasstrack
