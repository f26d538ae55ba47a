#include "mesh/gossip.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kMessageTimeout = std::chrono::milliseconds(800);
constexpr duration kProbeTimeout = std::chrono::milliseconds(350);
constexpr duration kProbePeriod = std::chrono::milliseconds(500);
constexpr duration kComparePeriod = std::chrono::milliseconds(2500);
/// News goes to all nodes directly while there are at most this many.
constexpr std::size_t kDirectLimit = 32;
/// Nodes that each node passes news on to, beyond that.
constexpr std::size_t kFanout = 5;
/// Nodes of other failure domains that a watcher tells its version.
constexpr std::size_t kFarTold = 1;
/// One comparison in so many is with a host of another failure domain.
constexpr unsigned kCompareAcrossOneIn = 3;

} // namespace

gossip::gossip(loop& aLoop,
               caller& aCaller,
               host_directory& aDirectory,
               const version_gate& aVersions,
               proxy_counters& aCounters,
               gossip_owner& aOwner)
  : mLoop(aLoop)
  , mCaller(aCaller)
  , mDirectory(aDirectory)
  , mVersions(aVersions)
  , mCounters(aCounters)
  , mOwner(aOwner)
{
}

void
gossip::Start()
{
  mLoop.Every(kProbePeriod, [this] { ProbeUnreachable(); });
  mLoop.Every(kComparePeriod, [this] { CompareWithSome(); });
}

void
gossip::OnLost(std::function<void(const std::string&)> aHandler)
{
  mOnLost = std::move(aHandler);
}

std::vector<std::string>
gossip::Reachable() const
{
  std::vector<std::string> names;
  for (const auto& [name, host] : mDirectory.All()) {
    if (name != mDirectory.Self() && !host.unreachable) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
gossip::Targets(const std::string& aExcept)
{
  std::vector<std::string> names = Reachable();
  std::erase(names, aExcept);
  if (names.size() > kDirectLimit) {
    std::shuffle(names.begin(), names.end(), mRandom);
    names.resize(kFanout);
  }
  return names;
}

void
gossip::SpreadText(const std::string& aBody, const std::string& aExcept)
{
  for (const std::string& name : Targets(aExcept)) {
    Send(name, aBody);
  }
}

json
gossip::EncodeMove(const version_move& aMove) const
{
  return { { "service", aMove.service },
           { "to", aMove.to },
           { "order", aMove.order },
           { "phase", NameOf(aMove.phase) },
           { "share", aMove.share },
           { "over_ms", Milliseconds(aMove.over) },
           // Relative, since clocks differ.
           { "age_ms", Milliseconds(mLoop.Now() - aMove.began) } };
}

version_move
gossip::DecodeMove(const json& aJson) const
{
  version_move move;
  move.service = aJson.at("service").get<std::string>();
  move.to = aJson.at("to").get<std::string>();
  move.order = aJson.at("order").get<std::uint64_t>();
  move.phase = MovePhaseFromName(aJson.at("phase").get<std::string>());
  move.share = aJson.at("share").get<double>();
  move.over =
    std::chrono::milliseconds(aJson.at("over_ms").get<std::int64_t>());
  move.began = mLoop.Now() - std::chrono::milliseconds(
                               aJson.at("age_ms").get<std::int64_t>());
  return move;
}

std::vector<std::string>
gossip::Neighbours(std::size_t aFarCount)
{
  const known_host* self = mDirectory.Find(mDirectory.Self());
  std::vector<std::string> chosen;
  std::vector<std::string> far;
  for (const std::string& name : Reachable()) {
    const known_host* host = mDirectory.Find(name);
    bool same = self != nullptr && host->record.domain == self->record.domain;
    (same ? chosen : far).push_back(name);
  }
  std::shuffle(far.begin(), far.end(), mRandom);
  far.resize(std::min(far.size(), aFarCount));
  chosen.insert(chosen.end(), far.begin(), far.end());
  return chosen;
}

void
gossip::SpreadConfigVersion(bool aWatcher)
{
  json message = { { "from", mDirectory.Self() },
                   { "config", mOwner.ConfigVersion() },
                   { "watcher", aWatcher } };
  std::string text = message.dump();
  for (const std::string& name : Neighbours(aWatcher ? kFarTold : 0)) {
    Send(name, text);
  }
}

void
gossip::SpreadHost(const host_record& aRecord)
{
  json message = {
    { "from", mDirectory.Self() },
    { "config", mOwner.ConfigVersion() },
    { "hosts", json::array({ json::parse(EncodeHostRecord(aRecord)) }) }
  };
  SpreadText(message.dump(), aRecord.name);
}

void
gossip::SpreadMove(const version_move& aMove)
{
  json message = { { "from", mDirectory.Self() },
                   { "config", mOwner.ConfigVersion() },
                   { "moves", json::array({ EncodeMove(aMove) }) } };
  SpreadText(message.dump(), "");
}

std::string
gossip::MessageText(bool aCompare) const
{
  json message = { { "from", mDirectory.Self() },
                   { "config", mOwner.ConfigVersion() } };
  const known_host* self = mDirectory.Find(mDirectory.Self());
  if (self != nullptr) {
    message["hosts"] =
      json::array({ json::parse(EncodeHostRecord(self->record)) });
  }
  for (const auto& [service, move] : mVersions.Moves()) {
    message["moves"].push_back(EncodeMove(move));
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
  Send(aName, MessageText(true));
}

void
gossip::CompareWithSome()
{
  const known_host* self = mDirectory.Find(mDirectory.Self());
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const std::string& name : Reachable()) {
    const known_host* host = mDirectory.Find(name);
    bool same = self != nullptr && host->record.domain == self->record.domain;
    (same ? near : far).push_back(name);
  }
  bool across = near.empty() || mRandom() % kCompareAcrossOneIn == 0;
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
  whole_request request;
  request.method = "POST";
  request.target = "/v1/gossip";
  request.body = aBody;
  mCaller.Call(
    host->record.control,
    std::move(request),
    kMessageTimeout,
    [this, aName](result<whole_response> aResponse) {
      constexpr int kOk = 200;
      if (!aResponse || aResponse->status != kOk) {
        mCounters.Add(proxy_event::peer_failed);
        Probe(aName);
        return;
      }
      if (!aResponse->body.empty()) {
        result<std::string> taken = Take(aResponse->body);
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
  whole_request request;
  request.target = "/v1/ping";
  mCaller.Call(
    host->record.control,
    std::move(request),
    kProbeTimeout,
    [this, aName](result<whole_response> aResponse) {
      mProbing.erase(aName);
      if (aResponse) {
        if (mDirectory.MarkReachable(aName)) {
          LogEvent(log_level::info, "host_regained", { { "host", aName } });
          CompareWith(aName);
          mOwner.OnHostsChanged();
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
      mOwner.OnHostsChanged();
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
gossip::Take(const std::string& aBody)
{
  try {
    return TakeText(aBody);
  } catch (const json::exception& problem) {
    return Fail(error_kind::invalid_argument,
                std::string("message of a node: ") + problem.what());
  }
}

std::string
gossip::TakeText(const std::string& aBody)
{
  json message = json::parse(aBody);
  auto from = message.at("from").get<std::string>();
  time_point now = mLoop.Now();
  bool changed = mDirectory.MarkReachable(from);
  std::vector<host_record> news;
  for (const json& entry : message.value("hosts", json::array())) {
    result<host_record> record = DecodeHostRecord(entry.dump());
    if (!record) {
      LogEvent(log_level::warning,
               "peer_record_skipped",
               { { "from", from }, { "reason", record.error().message } });
      continue;
    }
    // What others say of this node is never later than what it knows.
    if (record->name != mDirectory.Self() && mDirectory.Merge(*record, now)) {
      news.push_back(std::move(*record));
    }
  }
  std::vector<version_move> moves;
  for (const json& entry : message.value("moves", json::array())) {
    moves.push_back(DecodeMove(entry));
  }
  if (!moves.empty()) {
    mOwner.OnMoves(moves);
  }
  if (changed || !news.empty()) {
    mOwner.OnHostsChanged();
  }
  bool many = mDirectory.All().size() > kDirectLimit;
  for (const host_record& record : news) {
    if (many) {
      SpreadHost(record);
    }
  }
  if (message.value("watcher", false)) {
    mWatcherHeard = now;
  }
  auto config = message.value("config", std::uint64_t{ 0 });
  const known_host* sender = mDirectory.Find(from);
  if (config > mOwner.ConfigVersion() && sender != nullptr) {
    mOwner.WantConfig(sender->record, config);
  }
  if (!message.contains("known")) {
    return "";
  }
  json answer = { { "from", mDirectory.Self() },
                  { "config", mOwner.ConfigVersion() } };
  const json& known = message.at("known");
  for (const auto& [name, host] : mDirectory.All()) {
    if (host.unreachable) {
      continue; // may be out of date
    }
    if (known.contains(name)) {
      host_record theirs;
      theirs.incarnation = known.at(name).at(0).get<std::int64_t>();
      theirs.sequence = known.at(name).at(1).get<std::uint64_t>();
      if (!IsNewer(host.record, theirs)) {
        continue;
      }
    }
    answer["hosts"].push_back(json::parse(EncodeHostRecord(host.record)));
  }
  for (const auto& [service, move] : mVersions.Moves()) {
    answer["moves"].push_back(EncodeMove(move));
  }
  return answer.dump();
}

} // namespace eelgrasstrack
