#include "mesh/config-follower.h"

#include <utility>

#include "base/log.h"
#include "wire/compression.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

constexpr duration kFetchTimeout = std::chrono::milliseconds(900);
/// A fetch without an answer is made again on a new connection after this time.
constexpr duration kFetchResendAfter = std::chrono::milliseconds(250);
/// Part of the propagation time after which knowledge of the store is too old.
constexpr double kMaxStoreAgeShare = 0.6;
/// Part of the propagation time over which the nodes spread their reads, since
/// all of them may have lost their watchers at the same moment.
constexpr double kReadSpreadShare = 0.1;
constexpr duration kFirstReadRetryDelay = std::chrono::milliseconds(200);
/// Delay before a configuration is fetched from another failure domain, so that
/// the watchers of the own domain can supply it first.
constexpr duration kOtherDomainFetchDelay = std::chrono::milliseconds(600);
constexpr std::size_t kMaxConfigBytes = 16U << 20U;
constexpr const char* kStoreSource = "store";

duration
Scaled(duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<duration>(aDuration * aFactor);
}

} // namespace

config_follower::config_follower(loop& aLoop,
                                 control_client& aClient,
                                 control_store& aStore,
                                 proxy_counters& aCounters,
                                 std::string aDomain,
                                 config_follower_delegate& aDelegate)
  : mLoop(aLoop)
  , mClient(aClient)
  , mStore(aStore)
  , mCounters(aCounters)
  , mDomain(std::move(aDomain))
  , mDelegate(aDelegate)
  , mReadBackoff(kFirstReadRetryDelay, MaxStoreAge(), std::random_device{}())
  , mRandom(std::random_device{}())
{
}

void
config_follower::Start()
{
  mStarted = mLoop.Now();
  CheckAfter(MaxStoreAge());
}

void
config_follower::SetPropagationTime(duration aTime)
{
  mPropagationTime = aTime;
  mReadBackoff = jittered_backoff(
    kFirstReadRetryDelay, MaxStoreAge(), std::random_device{}());
}

duration
config_follower::MaxStoreAge() const
{
  return Scaled(mPropagationTime, kMaxStoreAgeShare);
}

duration
config_follower::StoreAge() const
{
  return mLoop.Now() - mKnowledge.confirmed_at.value_or(mStarted);
}

bool
config_follower::HasFreshRead() const
{
  std::optional<duration> age = mKnowledge.ReadAge(mLoop.Now());
  return age && *age < MaxStoreAge();
}

void
config_follower::CheckAfter(duration aDelay)
{
  std::uniform_real_distribution<double> spread(0, kReadSpreadShare);
  duration jitter = Scaled(mPropagationTime, spread(mRandom));
  mLoop.RunAfter(aDelay + jitter, [this] { CheckStoreAge(); });
}

void
config_follower::CheckStoreAge()
{
  duration age = StoreAge();
  duration limit = MaxStoreAge();
  if (age < limit) {
    mUnconfirmed = false;
    CheckAfter(limit - age);
    return;
  }
  if (!mUnconfirmed) {
    LogEvent(log_level::info,
             "configuration_unconfirmed",
             { { "version", std::to_string(Version()) },
               { "source", mKnowledge.source },
               { "store_age_ms", std::to_string(Milliseconds(age)) } });
  }
  mUnconfirmed = true;
  mCounters.Add(proxy_event::config_read);
  mStore.ReadConfig([this](const result<void>& aRead) { HandleRead(aRead); });
}

void
config_follower::HandleRead(const result<void>& aRead)
{
  bool none =
    !aRead && aRead.error().kind == error_kind::not_found && Version() == 0;
  duration left = none ? MaxStoreAge() : MaxStoreAge() - StoreAge();
  // A configuration that can't be decoded is read, but does not count.
  if ((aRead || none) && left > duration(0)) {
    mReadBackoff.Reset();
    CheckAfter(left);
    return;
  }
  CheckAfter(mReadBackoff.NextDelay());
}

void
config_follower::HandleStored(const accepted_table& aTable)
{
  if (Take(aTable, kStoreSource)) {
    mDelegate.OnConfigTaken(aTable.table, "");
  }
}

void
config_follower::HandleConfirmed(time_point aTime)
{
  mKnowledge.read_at = std::max(mKnowledge.read_at.value_or(aTime), aTime);
  Confirm(aTime);
}

void
config_follower::Confirm(time_point aTime)
{
  std::optional<time_point>& confirmed = mKnowledge.confirmed_at;
  confirmed = std::max(confirmed.value_or(aTime), aTime);
}

void
config_follower::HandleAnnounced(const host_record& aFrom,
                                 std::uint64_t aVersion,
                                 std::optional<duration> aStoreAge)
{
  config_source source{ aFrom, aVersion, std::nullopt };
  if (aStoreAge) {
    source.confirmed_at = mLoop.Now() - *aStoreAge;
  }
  if (aVersion <= Version()) {
    ConfirmBy(source);
    return;
  }
  if (aFrom.domain == mDomain || Version() == 0) {
    Fetch(source);
    return;
  }
  mLoop.RunAfter(kOtherDomainFetchDelay, [this, source] { Fetch(source); });
}

void
config_follower::ConfirmBy(const config_source& aSource)
{
  if (aSource.confirmed_at && aSource.version <= Version()) {
    Confirm(*aSource.confirmed_at);
  }
}

bool
config_follower::Take(const accepted_table& aTable, const std::string& aSource)
{
  if (aTable.table->Version() <= Version()) {
    return false;
  }
  time_point now = mLoop.Now();
  LogEvent(log_level::info,
           "configuration_taken",
           { { "version", std::to_string(aTable.table->Version()) },
             { "before", std::to_string(Version()) },
             { "source", aSource },
             { "store_age_ms", StoreAgeText(mKnowledge, now) },
             { "routes", std::to_string(aTable.table->RouteCount()) } });
  mKnowledge.version = aTable.table->Version();
  mKnowledge.source = aSource;
  mKnowledge.taken_at = now;
  mCompressedText = Compress(aTable.text);
  return true;
}

void
config_follower::Fetch(const config_source& aSource)
{
  if (Version() >= aSource.version) {
    ConfirmBy(aSource);
    return;
  }
  if (mFetching) {
    mPendingFetch = aSource;
    return;
  }
  mFetching = true;
  buffered_request request;
  request.target = "/v1/config";
  mCounters.Add(proxy_event::peer_message);
  mClient.Call(aSource.host.control,
               std::move(request),
               { .timeout = kFetchTimeout, .resend_after = kFetchResendAfter },
               [this, source = aSource](result<buffered_response> aResponse) {
                 mFetching = false;
                 HandleFetched(source, std::move(aResponse));
                 // A version announced during this fetch.
                 if (std::optional<config_source> next =
                       std::exchange(mPendingFetch, std::nullopt)) {
                   Fetch(*next);
                 }
               });
}

void
config_follower::HandleFetched(const config_source& aSource,
                               result<buffered_response> aResponse)
{
  if (!aResponse) {
    mCounters.Add(proxy_event::peer_failed);
    LogFetchFailed(aSource, aResponse.error().message);
    return;
  }
  if (aResponse->status != status::kOk) {
    mCounters.Add(proxy_event::peer_failed);
    LogFetchFailed(aSource, "status " + std::to_string(aResponse->status));
    return;
  }
  result<std::string> text = Decompress(aResponse->body, kMaxConfigBytes);
  result<accepted_table> table =
    text ? mStore.ParseTable(std::move(*text))
         : result<accepted_table>(tl::unexpected<error>(text.error()));
  if (!table) {
    LogEvent(
      log_level::warning,
      "configuration_refused",
      { { "from", aSource.host.name }, { "reason", table.error().message } });
    return;
  }
  bool taken = Take(*table, aSource.host.name);
  ConfirmBy(aSource);
  if (taken) {
    mDelegate.OnConfigTaken(table->table, aSource.host.name);
  }
}

void
config_follower::LogFetchFailed(const config_source& aSource,
                                const std::string& aReason)
{
  LogEvent(log_level::warning,
           "configuration_fetch_failed",
           { { "from", aSource.host.name },
             { "version", std::to_string(aSource.version) },
             { "held", std::to_string(Version()) },
             { "store_age_ms", StoreAgeText(mKnowledge, mLoop.Now()) },
             { "reason", aReason } });
}

void
config_follower::AppendMetrics(std::string& aText) const
{
  auto add = [&aText](const std::string& aName, double aValue) {
    aText += "eelgrasstrack_" + aName + ' ' + std::to_string(aValue) + '\n';
  };
  auto seconds = [](duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  time_point now = mLoop.Now();
  aText += "eelgrasstrack_config_version " + std::to_string(Version()) + '\n';
  if (Version() > 0) {
    aText +=
      "eelgrasstrack_config_source{source=\"" + mKnowledge.source + "\"} 1\n";
    add("config_age_seconds", seconds(now - mKnowledge.taken_at));
  }
  if (std::optional<duration> age = mKnowledge.StoreAge(now)) {
    add("store_knowledge_age_seconds", seconds(*age));
  }
}

json
config_follower::Dump() const
{
  time_point now = mLoop.Now();
  json dump = { { "version", Version() },
                { "source", mKnowledge.source },
                { "fetching", mFetching } };
  if (Version() > 0) {
    dump["taken_ms_ago"] = Milliseconds(now - mKnowledge.taken_at);
  }
  if (std::optional<duration> age = mKnowledge.StoreAge(now)) {
    dump["store_age_ms"] = Milliseconds(*age);
  }
  return dump;
}

} // namespace eelgrasstrack
