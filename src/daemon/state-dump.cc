#include "daemon/state-dump.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include "base/hash.h"
#include "base/invariant.h"

namespace eelgrasstrack {

namespace {

using nlohmann::json;

json
RenderMembers(const member_table& aMembers)
{
  json list = json::array();
  for (const auto& [node, entry] : aMembers.Entries()) {
    const member_record& record = entry.record;
    json item = { { "node", node },
                  { "domain", record.domain },
                  { "region", record.region },
                  { "incarnation", record.incarnation },
                  { "sequence", record.sequence },
                  { "state", NameOf(record.state) } };
    if (record.upstream) {
      item["upstream"] = { { "service", record.upstream->service },
                           { "version", record.upstream->version },
                           { "slots", record.upstream->slots },
                           { "leaving", record.upstream->leaving } };
    }
    list.push_back(std::move(item));
  }
  return list;
}

json
RenderTraffic(const traffic_counts& aTraffic)
{
  json kinds = json::object();
  for (std::size_t i = 0; i < kPeerMessageKinds; ++i) {
    const traffic_count& count = aTraffic[i];
    kinds[std::string(MessageKindName(i))] = {
      { "sent_messages", count.sent_messages },
      { "sent_bytes", count.sent_bytes },
      { "received_messages", count.received_messages },
      { "received_bytes", count.received_bytes },
      { "control", !IsCallTraffic(i) }
    };
  }
  return kinds;
}

json
RenderInvariants()
{
  json list = json::object();
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    auto which = static_cast<invariant>(i);
    invariant_count count = CountOf(which);
    list[std::string(NameOf(which))] = { { "checked", count.checked },
                                         { "broken", count.broken } };
  }
  return list;
}

json
RenderConfig(const fleet_node& aFleet, time_point aNow)
{
  const config_knowledge& config = aFleet.Knowledge();
  std::optional<std::uint64_t> floor = aFleet.VersionFloor();
  json body = { { "version", aFleet.Config()->version },
                { "hash", HexOf(aFleet.Config()->hash) },
                { "floor", floor ? json(*floor) : json() },
                { "documents", aFleet.Config()->documents.size() },
                { "source", config.source } };
  if (config.version > 0) {
    body["taken_ms_ago"] = Milliseconds(aNow - config.taken_at);
  }
  if (std::optional<duration> age = config.StoreAge(aNow)) {
    body["store_age_ms"] = Milliseconds(*age);
  }
  return body;
}

void
AppendConfigMetrics(std::string& aText,
                    const fleet_node& aFleet,
                    time_point aNow)
{
  const config_knowledge& config = aFleet.Knowledge();
  auto add = [&aText](const std::string& aName, duration aAge) {
    double seconds = std::chrono::duration<double>(aAge).count();
    aText += "eelgrasstrack_" + aName + " " + std::to_string(seconds) + "\n";
  };
  if (config.version > 0) {
    aText +=
      "eelgrasstrack_config_source{source=\"" + config.source + "\"} 1\n";
    add("config_age_seconds", aNow - config.taken_at);
  }
  if (std::optional<duration> age = config.StoreAge(aNow)) {
    add("store_knowledge_age_seconds", *age);
  }
}

json
RenderRollouts(const rollout_state_table& aStates)
{
  json list = json::object();
  for (const auto& [id, state] : aStates.States()) {
    list[id] = { { "share", state.share },
                 { "halted", state.halted },
                 { "halt_reason", state.halt_reason },
                 { "complete", state.complete },
                 { "ejected", state.ejected } };
  }
  return list;
}

json
RenderCalls(const first_hop& aFirst, const last_hop& aLast)
{
  const first_hop_counters& first = aFirst.Counters();
  const last_hop_counters& last = aLast.Counters();
  return { { "calls", first.calls },
           { "answered", first.answered },
           { "failed_not_run", first.failed_not_run },
           { "failed_unknown", first.failed_unknown },
           { "retries", first.retries },
           { "throttled", first.throttled },
           { "rescued", first.answered_by_fallback },
           { "dispatched", last.dispatched },
           { "shed", last.shed },
           { "duplicates", last.duplicates },
           { "cancelled", last.cancelled },
           { "in_progress", aLast.InProgress() },
           { "busy", aLast.Load().busy },
           { "queued", aLast.Load().queued } };
}

} // namespace

std::uint64_t
ResidentBytes()
{
  std::FILE* file = std::fopen("/proc/self/statm", "r");
  if (file == nullptr) {
    return 0;
  }
  unsigned long long total = 0;
  unsigned long long resident = 0;
  int fields = std::fscanf(file, "%llu %llu", &total, &resident);
  std::fclose(file);
  return fields == 2 ? resident * static_cast<std::uint64_t>(getpagesize()) : 0;
}

duration
ProcessorTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         duration(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

std::string
DumpState(const state_dump_sources& aSources)
{
  const fleet_node& fleet = aSources.fleet;
  const store_counters& store = aSources.store.Counters();
  json body = { { "node", fleet.Self().node },
                { "domain", fleet.Self().domain },
                { "incarnation", fleet.Self().incarnation },
                { "serving", aSources.serving },
                { "uptime_ms", Milliseconds(aSources.uptime) },
                { "processor_us", ProcessorTime().count() },
                { "resident_bytes", ResidentBytes() },
                { "config", RenderConfig(fleet, aSources.now) },
                { "watches_store", fleet.WatchesStore() },
                { "store",
                  { { "calls", store.calls },
                    { "failures", store.failures },
                    { "refused_by_budget", store.refused_by_budget } } },
                { "neighbours", fleet.Neighbours() },
                { "links", aSources.peers.LinkCount() },
                { "members", RenderMembers(fleet.Members()) },
                { "member_hash", HexOf(fleet.Members().Hash()) },
                { "rollouts", RenderRollouts(fleet.Rollouts()) },
                { "calls", RenderCalls(aSources.first, aSources.last) },
                { "traffic", RenderTraffic(aSources.peers.Traffic()) },
                { "invariants", RenderInvariants() } };
  return body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string
ExposeCounters(const state_dump_sources& aSources)
{
  std::string text;
  auto add = [&text](const std::string& aName, std::uint64_t aValue) {
    text += "eelgrasstrack_" + aName + " " + std::to_string(aValue) + "\n";
  };
  add("config_version", aSources.fleet.Config()->version);
  AppendConfigMetrics(text, aSources.fleet, aSources.now);
  add("store_watcher", aSources.fleet.WatchesStore() ? 1 : 0);
  add("serving", aSources.serving ? 1 : 0);
  add("members_alive", aSources.fleet.Members().AliveCount());
  add("links", aSources.peers.LinkCount());
  add("resident_bytes", ResidentBytes());
  add("processor_microseconds_total",
      static_cast<std::uint64_t>(ProcessorTime().count()));
  add("store_calls_total", aSources.store.Counters().calls);
  add("store_failures_total", aSources.store.Counters().failures);
  const first_hop_counters& first = aSources.first.Counters();
  add("calls_total", first.calls);
  add("calls_answered_total", first.answered);
  add("calls_failed_total{execution=\"not_run\"}", first.failed_not_run);
  add("calls_failed_total{execution=\"unknown\"}", first.failed_unknown);
  add("retries_total", first.retries);
  add("throttled_total", first.throttled);
  add("rescued_total", first.answered_by_fallback);
  const last_hop_counters& last = aSources.last.Counters();
  add("dispatched_total", last.dispatched);
  add("shed_total", last.shed);
  add("duplicates_total", last.duplicates);
  for (std::size_t i = 0; i < kPeerMessageKinds; ++i) {
    const traffic_count& count = aSources.peers.Traffic()[i];
    std::string labels = "{kind=\"" + std::string(MessageKindName(i)) + "\"}";
    add("peer_sent_bytes_total" + labels, count.sent_bytes);
    add("peer_received_bytes_total" + labels, count.received_bytes);
  }
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    auto which = static_cast<invariant>(i);
    std::string labels = "{invariant=\"" + std::string(NameOf(which)) + "\"}";
    add("invariant_checked_total" + labels, CountOf(which).checked);
    add("invariant_broken_total" + labels, CountOf(which).broken);
  }
  return text;
}

} // namespace eelgrasstrack
