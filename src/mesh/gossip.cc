#include "mesh/gossip.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "mesh/order-id-json.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMessageTimeout = std::chrono::milliseconds(800);
constexpr duration kProbeTimeout = std::chrono::milliseconds(350);
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

json
EncodeDeparture(const std::string& aHost,
                const instance_incarnation& aDeparture)
{
  return { { "host", aHost },
           { "id", aDeparture.id },
           { "born", aDeparture.started_unix_ms } };
}

} // namespace

gossip::gossip(loop& aLoop,
               control_client& aClient,
               host_directory& aDirectory,
               const version_selector& aVersions,
               crash_table& aCrashes,
               proxy_counters& aCounters,
               gossip_delegate& aDelegate)
  : mLoop(aLoop)
  , mClient(aClient)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCrashes(aCrashes)
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
gossip::Broadcast(const json& aMessage, const acknowledged_handler& aHandled)
{
  std::string text = aMessage.dump();
  for (const std::string& name : OwnDomainTargets()) {
    Send(name, text, aHandled);
  }
  for (const std::string& name : OtherDomainTargets(kOtherDomainFanout)) {
    Send(name, text, aHandled);
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
gossip::EncodeCanary(const canary_rollout& aCanary) const
{
  json encoded = {
    { "service", aCanary.service },
    { "to", aCanary.target_version },
    { "phase", NameOf(aCanary.phase) },
    { "share", aCanary.share },
    { "over_ms", Milliseconds(aCanary.time_limit) },
    // An age rather than a time, since clocks differ between hosts.
    { "age_ms", Milliseconds(mLoop.Now() - aCanary.started_at) }
  };
  AddOrderId(encoded, aCanary.order_id);
  return encoded;
}

result<canary_rollout>
gossip::DecodeCanary(const json& aJson) const
{
  std::optional<canary_phase> phase =
    CanaryPhaseFromName(aJson.at("phase").get<std::string>());
  if (!phase) {
    return Fail(error_kind::invalid_argument, "canary rollout: unknown phase");
  }
  canary_rollout canary;
  canary.service = aJson.at("service").get<std::string>();
  canary.target_version = aJson.at("to").get<std::string>();
  canary.order_id = OrderIdOf(aJson);
  canary.phase = *phase;
  canary.share = aJson.at("share").get<double>();
  canary.time_limit =
    std::chrono::milliseconds(aJson.at("over_ms").get<std::int64_t>());
  canary.started_at = mLoop.Now() - std::chrono::milliseconds(
                                      aJson.at("age_ms").get<std::int64_t>());
  return canary;
}

json
gossip::MessageHeader() const
{
  return { { "from", mDirectory.Self() },
           { "config", mDelegate.ConfigVersion() } };
}

void
gossip::SpreadConfigVersion(bool aWatcher)
{
  json message = MessageHeader();
  message["watcher"] = aWatcher;
  std::string text = message.dump();
  for (const std::string& name : OwnDomainTargets()) {
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
  message["moves"] = json::array({ EncodeCanary(aCanary) });
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
gossip::SpreadDeparture(const instance_incarnation& aDeparture,
                        const acknowledged_handler& aRecorded)
{
  (void)mDirectory.RecordLeaving(mDirectory.Self(), aDeparture, mLoop.Now());
  json message = MessageHeader();
  message["departures"] =
    json::array({ EncodeDeparture(mDirectory.Self(), aDeparture) });
  Broadcast(message, aRecorded);
}

void
gossip::AddDepartures(json& aMessage,
                      const std::vector<std::string>& aHosts) const
{
  for (const std::string& host : aHosts) {
    if (std::optional<instance_incarnation> departure =
          mDirectory.DepartureOf(host)) {
      aMessage["departures"].push_back(EncodeDeparture(host, *departure));
    }
  }
}

std::vector<std::string>
gossip::MergeDepartures(const json& aMessage)
{
  std::vector<std::string> updates;
  for (const json& entry : aMessage.value("departures", json::array())) {
    auto host = entry.at("host").get<std::string>();
    instance_incarnation departure{ entry.at("id").get<std::string>(),
                                    entry.at("born").get<std::int64_t>() };
    if (mDirectory.RecordLeaving(host, departure, mLoop.Now())) {
      updates.push_back(host);
    }
    if (host == mDirectory.Self()) {
      mDelegate.OnInstanceLeft(departure);
    }
  }
  return updates;
}

json
gossip::EncodeCrashes(const std::vector<crash_record>& aRecords) const
{
  json encoded = json::array();
  for (const crash_record& record : aRecords) {
    // An age rather than a time, since clocks differ between hosts.
    encoded.push_back({ record.fingerprint,
                        record.count.epoch,
                        record.count.crashes,
                        Milliseconds(mLoop.Now() - record.changed) });
  }
  return encoded;
}

std::vector<crash_record>
gossip::MergeCrashes(const json& aMessage)
{
  std::vector<crash_record> updates;
  for (const json& entry : aMessage.value("crashes", json::array())) {
    crash_record record;
    record.fingerprint = entry.at(0).get<request_fingerprint>();
    record.count.epoch = entry.at(1).get<std::uint32_t>();
    record.count.crashes = entry.at(2).get<std::uint32_t>();
    record.changed =
      mLoop.Now() - std::chrono::milliseconds(entry.at(3).get<std::int64_t>());
    if (mCrashes.Merge(record, mLoop.Now())) {
      updates.push_back(record);
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
    message["moves"].push_back(EncodeCanary(canary));
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
gossip::Send(const std::string& aName,
             const std::string& aBody,
             const acknowledged_handler& aHandled)
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
               kMessageTimeout,
               [this, aName, aHandled](result<buffered_response> aResponse) {
                 if (!aResponse || aResponse->status != status::kOk) {
                   mCounters.Add(proxy_event::peer_failed);
                   Probe(aName);
                   return;
                 }
                 if (aHandled) {
                   aHandled(aName);
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
  const known_host* host = mDirectory.Find(aName);
  if (host == nullptr || !mProbing.insert(aName).second) {
    return;
  }
  buffered_request request;
  request.target = "/v1/ping";
  mClient.Call(
    host->record.control,
    std::move(request),
    kProbeTimeout,
    [this, aName](result<buffered_response> aResponse) {
      mProbing.erase(aName);
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
  try {
    return ProcessMessage(aBody);
  } catch (const json::exception& problem) {
    return Fail(error_kind::invalid_argument,
                std::string("gossip message: ") + problem.what());
  }
}

std::vector<host_record>
gossip::MergeHosts(const json& aMessage, const std::string& aFrom)
{
  std::vector<host_record> updates;
  for (const json& entry : aMessage.value("hosts", json::array())) {
    result<host_record> record = DecodeHostRecord(entry);
    if (!record) {
      LogEvent(log_level::warning,
               "peer_record_skipped",
               { { "from", aFrom }, { "reason", record.error().message } });
      continue;
    }
    // This node's own record is always newer than the copies on other nodes.
    if (record->name != mDirectory.Self() &&
        mDirectory.Merge(*record, mLoop.Now())) {
      updates.push_back(std::move(*record));
    }
  }
  return updates;
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
    result<canary_rollout> canary = DecodeCanary(entry);
    if (!canary) {
      LogEvent(log_level::warning,
               "peer_move_skipped",
               { { "reason", canary.error().message } });
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
gossip::ProcessMessage(const std::string& aBody)
{
  json message = json::parse(aBody);
  auto from = message.at("from").get<std::string>();
  bool changed = mDirectory.MarkReachable(from);
  bool wasRemoved = mDirectory.WasRemoved(from);
  std::vector<host_record> hosts = MergeHosts(message, from);
  std::vector<canary_rollout> canaries = MergeCanaries(message);
  if (changed) {
    CompareUnlessRecent(from); // it may have missed updates while unreachable
  }
  if (changed || !hosts.empty()) {
    mDelegate.OnHostsChanged();
  }
  std::vector<crash_record> crashes = MergeCrashes(message);
  std::vector<std::string> departures = MergeDepartures(message);
  ForwardNews(hosts, canaries, crashes, departures, from);
  if (message.value("watcher", false)) {
    mLastWatcherMessage = mLoop.Now();
  }
  auto config = message.value("config", std::uint64_t{ 0 });
  mLatestPeerConfig = std::max(mLatestPeerConfig.value_or(0), config);
  const known_host* sender = mDirectory.Find(from);
  if (config > mDelegate.ConfigVersion() && sender != nullptr) {
    mDelegate.OnNewerConfig(sender->record, config);
  }
  if (message.value("dropped", false)) {
    mDelegate.OnRemovedByOthers();
  }
  if (message.contains("known")) {
    return AnswerToDigest(message, wasRemoved);
  }
  if (!mDirectory.ForgottenDeparture(from)) {
    return "";
  }
  json answer = MessageHeader();
  AddDepartures(answer, { from });
  return answer.dump();
}

void
gossip::ForwardNews(const std::vector<host_record>& aHosts,
                    const std::vector<canary_rollout>& aCanaries,
                    const std::vector<crash_record>& aCrashes,
                    const std::vector<std::string>& aDepartures,
                    const std::string& aFrom)
{
  if (aHosts.empty() && aCanaries.empty() && aCrashes.empty() &&
      aDepartures.empty()) {
    return;
  }
  json updates = MessageHeader();
  for (const host_record& record : aHosts) {
    updates["hosts"].push_back(EncodeHostRecord(record));
  }
  for (const canary_rollout& canary : aCanaries) {
    updates["moves"].push_back(EncodeCanary(canary));
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
    answer["moves"].push_back(EncodeCanary(canary));
  }
  std::uint64_t crashes = mCrashes.Digest();
  if (aMessage.value("known_crashes", crashes) != crashes) {
    answer["crashes"] = EncodeCrashes(mCrashes.Records());
  }
  AddDepartures(answer, mDirectory.HostsWithForgottenDeparture());
  return answer.dump();
}

} // namespace eelgrasstrack
