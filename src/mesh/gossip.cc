#include "mesh/gossip.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMessageTimeout = std::chrono::milliseconds(800);
constexpr duration kProbeTimeout = std::chrono::milliseconds(350);
constexpr duration kProbePeriod = std::chrono::milliseconds(500);
constexpr duration kComparePeriod = std::chrono::milliseconds(2500);
/// A host whose record seems out of date is asked again after this.
constexpr duration kMinCompareInterval = std::chrono::milliseconds(300);
/// News goes to all nodes of the failure domain directly while there are at
/// most this many.
constexpr std::size_t kMaxDirectHosts = 32;
/// Nodes that each node passes news on to, beyond that.
constexpr std::size_t kFanout = 6;
/// Nodes of each other failure domain that hear news directly.
constexpr std::size_t kOtherDomainFanout = 2;
/// One comparison in so many is with a host of another failure domain.
constexpr unsigned kCrossDomainCompareOneIn = 3;

} // namespace

gossip::gossip(loop& aLoop,
               control_client& aCaller,
               host_directory& aDirectory,
               const version_selector& aVersions,
               proxy_counters& aCounters,
               gossip_delegate& aOwner)
  : mLoop(aLoop)
  , mClient(aCaller)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCounters(aCounters)
  , mDelegate(aOwner)
{
}

void
gossip::Start()
{
  mLoop.Every(kProbePeriod, [this] { ProbeUnreachable(); });
  mLoop.Every(kComparePeriod, [this] { CompareWithRandomHost(); });
}

void
gossip::OnLost(std::function<void(const std::string&)> aHandler)
{
  mOnLost = std::move(aHandler);
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
  std::map<std::string, std::size_t> taken;
  std::erase_if(names, [&](const std::string& aName) {
    return IsInOwnDomain(aName) ||
           ++taken[mDirectory.Find(aName)->record.domain] > aPerDomain;
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
    return; // the sender has told all of this failure domain
  }
  std::string text = aMessage.dump();
  for (const std::string& name : OwnDomainTargets()) {
    if (name != aFrom) {
      Send(name, text);
    }
  }
}

json
gossip::EncodeCanary(const canary_rollout& aMove) const
{
  return { { "service", aMove.service },
           { "to", aMove.target_version },
           { "order", aMove.order_id },
           { "phase", NameOf(aMove.phase) },
           { "share", aMove.share },
           { "over_ms", Milliseconds(aMove.time_limit) },
           // Relative, since clocks differ.
           { "age_ms", Milliseconds(mLoop.Now() - aMove.started_at) } };
}

result<canary_rollout>
gossip::DecodeCanary(const json& aJson) const
{
  std::optional<canary_phase> phase =
    CanaryPhaseFromName(aJson.at("phase").get<std::string>());
  if (!phase) {
    return Fail(error_kind::invalid_argument, "no phase of a move");
  }
  canary_rollout move;
  move.service = aJson.at("service").get<std::string>();
  move.target_version = aJson.at("to").get<std::string>();
  move.order_id = aJson.at("order").get<std::uint64_t>();
  move.phase = *phase;
  move.share = aJson.at("share").get<double>();
  move.time_limit =
    std::chrono::milliseconds(aJson.at("over_ms").get<std::int64_t>());
  move.started_at = mLoop.Now() - std::chrono::milliseconds(
                                    aJson.at("age_ms").get<std::int64_t>());
  return move;
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
  std::vector<std::string> far = OtherDomainTargets(1);
  if (!far.empty()) {
    Send(far.front(), text);
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
gossip::SpreadCanary(const canary_rollout& aMove)
{
  json message = MessageHeader();
  message["moves"] = json::array({ EncodeCanary(aMove) });
  Broadcast(message);
}

std::string
gossip::EncodeMessage(bool aCompare) const
{
  json message = MessageHeader();
  const known_host* self = mDirectory.Find(mDirectory.Self());
  if (self != nullptr) {
    message["hosts"] = json::array({ EncodeHostRecord(self->record) });
  }
  for (const auto& [service, move] : mVersions.Canaries()) {
    message["moves"].push_back(EncodeCanary(move));
  }
  if (aCompare) {
    json known = json::object();
    for (const auto& [name, host] : mDirectory.All()) {
      known[name] = { host.record.incarnation, host.record.sequence };
    }
    message["known"] = std::move(known);
  }
  return message.dump();
}

void
gossip::CompareWith(const std::string& aName)
{
  Send(aName, EncodeMessage(true));
}

void
gossip::CompareUnlessRecent(const std::string& aName)
{
  time_point now = mLoop.Now();
  time_point& asked = mLastCompared[aName];
  if (now - asked < kMinCompareInterval) {
    return;
  }
  asked = now;
  CompareWith(aName);
}

void
gossip::CompareWithRandomHost()
{
  std::vector<std::string> near = OwnDomainTargets();
  std::vector<std::string> far = OtherDomainTargets(1);
  bool across = near.empty() || mRandom() % kCrossDomainCompareOneIn == 0;
  const std::vector<std::string>& choice = across && !far.empty() ? far : near;
  if (!choice.empty()) {
    CompareWith(choice[mRandom() % choice.size()]);
  }
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
  mClient.Call(
    host->record.control,
    std::move(request),
    kMessageTimeout,
    [this, aName](result<buffered_response> aResponse) {
      if (!aResponse || aResponse->status != status::kOk) {
        mCounters.Add(proxy_event::peer_failed);
        Probe(aName);
        return;
      }
      if (!aResponse->body.empty()) {
        result<std::string> taken = HandleMessage(aResponse->body);
        if (!taken) {
          LogEvent(log_level::warning,
                   "peer_answer_skipped",
                   { { "host", aName }, { "reason", taken.error().message } });
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
      if (mOnLost) {
        mOnLost(aName);
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
                std::string("message of a node: ") + problem.what());
  }
}

std::vector<host_record>
gossip::MergeHosts(const json& aMessage, const std::string& aFrom)
{
  std::vector<host_record> news;
  for (const json& entry : aMessage.value("hosts", json::array())) {
    result<host_record> record = DecodeHostRecord(entry);
    if (!record) {
      LogEvent(log_level::warning,
               "peer_record_skipped",
               { { "from", aFrom }, { "reason", record.error().message } });
      continue;
    }
    // What others say of this node is never later than what it knows.
    if (record->name != mDirectory.Self() &&
        mDirectory.Merge(*record, mLoop.Now())) {
      news.push_back(std::move(*record));
    }
  }
  return news;
}

bool
gossip::IsNewerCanary(const canary_rollout& aMove) const
{
  const canary_rollout* known = mVersions.CanaryOf(aMove.service);
  return known == nullptr || aMove.order_id > known->order_id ||
         (aMove.order_id == known->order_id && aMove.phase > known->phase);
}

std::vector<canary_rollout>
gossip::MergeCanaries(const json& aMessage)
{
  std::vector<canary_rollout> news;
  for (const json& entry : aMessage.value("moves", json::array())) {
    result<canary_rollout> move = DecodeCanary(entry);
    if (!move) {
      LogEvent(log_level::warning,
               "peer_move_skipped",
               { { "reason", move.error().message } });
      continue;
    }
    if (IsNewerCanary(*move)) {
      news.push_back(std::move(*move));
    }
  }
  if (!news.empty()) {
    mDelegate.OnCanaryUpdates(news);
  }
  return news;
}

std::string
gossip::ProcessMessage(const std::string& aBody)
{
  json message = json::parse(aBody);
  auto from = message.at("from").get<std::string>();
  bool changed = mDirectory.MarkReachable(from);
  bool wasDropped = mDirectory.WasRemoved(from);
  std::vector<host_record> hosts = MergeHosts(message, from);
  std::vector<canary_rollout> moves = MergeCanaries(message);
  if (changed) {
    CompareUnlessRecent(from); // it was away, and may have missed news
  }
  if (changed || !hosts.empty()) {
    mDelegate.OnHostsChanged();
  }
  if (!hosts.empty() || !moves.empty()) {
    json news = MessageHeader();
    for (const host_record& record : hosts) {
      news["hosts"].push_back(EncodeHostRecord(record));
    }
    for (const canary_rollout& move : moves) {
      news["moves"].push_back(EncodeCanary(move));
    }
    Forward(news, from);
  }
  if (message.value("watcher", false)) {
    mLastWatcherMessage = mLoop.Now();
  }
  auto config = message.value("config", std::uint64_t{ 0 });
  const known_host* sender = mDirectory.Find(from);
  if (config > mDelegate.ConfigVersion() && sender != nullptr) {
    mDelegate.OnNewerConfig(sender->record, config);
  }
  if (message.value("dropped", false)) {
    mDelegate.OnRemovedByOthers();
  }
  return message.contains("known")
           ? AnswerToDigest(message.at("known"), wasDropped)
           : "";
}

std::string
gossip::AnswerToDigest(const json& aKnown, bool aWasDropped) const
{
  json answer = MessageHeader();
  if (aWasDropped) {
    answer["dropped"] = true;
  }
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.unreachable) {
      continue; // may be out of date
    }
    if (aKnown.contains(name)) {
      host_record theirs;
      theirs.incarnation = aKnown.at(name).at(0).get<std::int64_t>();
      theirs.sequence = aKnown.at(name).at(1).get<std::uint64_t>();
      if (!IsNewer(host.record, theirs)) {
        continue;
      }
    }
    answer["hosts"].push_back(EncodeHostRecord(host.record));
  }
  for (const auto& [service, move] : mVersions.Canaries()) {
    answer["moves"].push_back(EncodeCanary(move));
  }
  return answer.dump();
}

} // namespace eelgrasstrack
