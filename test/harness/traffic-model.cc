#include "harness/traffic-model.h"

#include <map>
#include <queue>

namespace eelgrasstrack::test {

namespace {

/// Delay of a message between a node and an instance, in each direction.
constexpr duration kHopDelay = std::chrono::milliseconds(1);
constexpr unsigned kMaxAttempts = 5;
constexpr const char* kDomain = "domain-a";

class expected_time_policy final : public choice_policy
{
public:
  explicit expected_time_policy(std::uint64_t aSeed)
    : mChooser(kDomain, aSeed)
  {
  }

  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency& aRequest,
    time_point aNow) override
  {
    std::optional<std::size_t> chosen =
      mChooser.Choose(aCandidates, aAttempted, aRequest, aNow);
    if (chosen) {
      mChooser.RecordStart(aCandidates[*chosen].instance);
    }
    return chosen;
  }

  void RecordEnd(const std::string& aInstance,
                 const request_urgency& aRequest,
                 instance_chooser::outcome aOutcome,
                 const run_load& aLoad,
                 time_point aNow) override
  {
    mChooser.RecordEnd(aInstance, aRequest, aOutcome, aLoad, aNow);
  }

private:
  instance_chooser mChooser;
};

class round_robin_policy final : public choice_policy
{
public:
  explicit round_robin_policy(std::uint64_t aSeed)
    : mNext(aSeed)
  {
  }

  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency&,
    time_point) override
  {
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      std::size_t index = mNext++ % aCandidates.size();
      if (aAttempted.count(aCandidates[index].instance) == 0) {
        return index;
      }
    }
    return std::nullopt;
  }

  void RecordEnd(const std::string&,
                 const request_urgency&,
                 instance_chooser::outcome,
                 const run_load&,
                 time_point) override
  {
  }

private:
  std::size_t mNext;
};

class least_outstanding_policy final : public choice_policy
{
public:
  explicit least_outstanding_policy(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::optional<std::size_t> Choose(
    const std::vector<instance_candidate>& aCandidates,
    const std::set<std::string>& aAttempted,
    const request_urgency&,
    time_point) override
  {
    std::optional<std::size_t> best;
    std::size_t first = mRandom() % aCandidates.size();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      std::size_t index = (first + i) % aCandidates.size();
      const std::string& name = aCandidates[index].instance;
      bool fewer =
        !best || mOutstanding[name] < mOutstanding[aCandidates[*best].instance];
      if (aAttempted.count(name) == 0 && fewer) {
        best = index;
      }
    }
    if (best) {
      ++mOutstanding[aCandidates[*best].instance];
    }
    return best;
  }

  void RecordEnd(const std::string& aInstance,
                 const request_urgency&,
                 instance_chooser::outcome,
                 const run_load&,
                 time_point) override
  {
    --mOutstanding[aInstance];
  }

private:
  std::mt19937_64 mRandom;
  std::map<std::string, int> mOutstanding;
};

struct model_instance
{
  explicit model_instance(unsigned aSlots)
    : queue(aSlots)
  {
  }

  run_queue queue;
  /// Time of a request relative to the mean of all instances.
  double time_factor = 1;
};

struct model_request
{
  run_id id = 0;
  std::size_t node = 0;
  std::size_t instance = 0;
  time_point began{};
  std::set<std::string> attempted;
};

/// Discrete-event simulation of the pattern.
class traffic_model
{
public:
  traffic_model(const traffic_pattern& aPattern,
                const policy_factory& aPolicies)
    : mPattern(aPattern)
    , mRandom(aPattern.seed)
  {
    for (unsigned i = 0; i < aPattern.nodes; ++i) {
      mNodes.push_back(aPolicies(aPattern.seed * aPattern.nodes + i));
    }
    for (unsigned i = 0; i < aPattern.instances; ++i) {
      AddInstance(i);
    }
  }

  traffic_outcome Simulate()
  {
    time_point end = mNow + mPattern.length;
    ScheduleArrival(end);
    while (!mEvents.empty()) {
      event next = mEvents.top();
      mEvents.pop();
      mNow = next.at;
      next.action();
    }
    return mOutcome;
  }

private:
  struct event
  {
    time_point at{};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  void AddInstance(unsigned aIndex)
  {
    model_instance instance(mPattern.slots);
    double place = mPattern.instances > 1
                     ? static_cast<double>(aIndex) / (mPattern.instances - 1)
                     : 0;
    // Spreads the factors evenly, with a mean of 1 and a ratio of `spread`
    // between the highest and the lowest.
    double spread = mPattern.speed_spread;
    instance.time_factor = 2 * (1 + (spread - 1) * place) / (1 + spread);
    mInstances.push_back(std::move(instance));
    instance_candidate candidate;
    candidate.host = "host-" + std::to_string(aIndex);
    candidate.instance = "i-" + std::to_string(aIndex);
    candidate.domain = kDomain;
    candidate.slots = mPattern.slots;
    mCandidates.push_back(std::move(candidate));
  }

  void ScheduleAt(time_point aTime, std::function<void()> aAction)
  {
    mEvents.push({ aTime, ++mOrder, std::move(aAction) });
  }

  void ScheduleArrival(time_point aEnd)
  {
    std::exponential_distribution<double> gap(mPattern.per_second);
    constexpr double kMicroseconds = 1e6;
    time_point at =
      mNow + duration(static_cast<std::int64_t>(gap(mRandom) * kMicroseconds));
    if (at > aEnd) {
      return;
    }
    ScheduleAt(at, [this, aEnd] {
      auto request = std::make_shared<model_request>();
      request->id = ++mLastId;
      request->node = mRandom() % mNodes.size();
      request->began = mNow;
      ++mOutcome.offered;
      Send(request);
      ScheduleArrival(aEnd);
    });
  }

  request_urgency UrgencyOf(const model_request& aRequest) const
  {
    return { 1, aRequest.began + mPattern.latency_target - mNow };
  }

  void Send(const std::shared_ptr<model_request>& aRequest)
  {
    std::optional<std::size_t> chosen;
    if (aRequest->attempted.size() < kMaxAttempts) {
      chosen = mNodes[aRequest->node]->Choose(
        mCandidates, aRequest->attempted, UrgencyOf(*aRequest), mNow);
    }
    if (!chosen) {
      ++mOutcome.refused;
      return;
    }
    aRequest->instance = *chosen;
    aRequest->attempted.insert(mCandidates[*chosen].instance);
    ScheduleAt(mNow + kHopDelay, [this, aRequest] { Arrive(aRequest); });
  }

  void Arrive(const std::shared_ptr<model_request>& aRequest)
  {
    model_instance& instance = mInstances[aRequest->instance];
    run_entry entry;
    entry.id = aRequest->id;
    entry.key = "route";
    entry.priority = 1;
    entry.soft_deadline = aRequest->began + mPattern.latency_target;
    entry.deadline = aRequest->began + mPattern.deadline;
    mWaiting[entry.id] = aRequest;
    run_admission offer = instance.queue.Admit(entry, mNow);
    if (offer.decision == run_decision::run) {
      Run(entry.id);
    } else if (offer.decision == run_decision::refuse) {
      Refuse(entry.id);
    }
    for (run_id id : offer.evicted) {
      Refuse(id);
    }
  }

  void Refuse(run_id aId)
  {
    auto request = mWaiting.extract(aId).mapped();
    run_load load = mInstances[request->instance].queue.Load();
    ScheduleAt(mNow + kHopDelay, [this, request, load] {
      mNodes[request->node]->RecordEnd(mCandidates[request->instance].instance,
                                       UrgencyOf(*request),
                                       instance_chooser::outcome::refused,
                                       load,
                                       mNow);
      Send(request);
    });
  }

  void Run(run_id aId)
  {
    auto request = mWaiting.extract(aId).mapped();
    model_instance& instance = mInstances[request->instance];
    run_load load = instance.queue.Load();
    double utilization = static_cast<double>(load.busy) / load.slots;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    double elapsed = static_cast<double>(mPattern.service_time.count()) *
                     instance.time_factor * spread(mRandom) *
                     (1 + mPattern.load_slowdown * utilization * utilization);
    duration time(static_cast<std::int64_t>(elapsed));
    ScheduleAt(mNow + time,
               [this, request, time] { FinishRun(request, time); });
  }

  void FinishRun(const std::shared_ptr<model_request>& aRequest,
                 duration aRunTime)
  {
    run_queue& queue = mInstances[aRequest->instance].queue;
    queue.Finish("route", aRunTime);
    run_queue::next_run next = queue.StartNext(mNow);
    run_load load = queue.Load();
    ScheduleAt(mNow + kHopDelay,
               [this, aRequest, load] { DeliverAnswer(aRequest, load); });
    for (run_id id : next.expired) {
      Refuse(id);
    }
    if (next.run) {
      Run(*next.run);
    }
  }

  void DeliverAnswer(const std::shared_ptr<model_request>& aRequest,
                     const run_load& aLoad)
  {
    mNodes[aRequest->node]->RecordEnd(mCandidates[aRequest->instance].instance,
                                      UrgencyOf(*aRequest),
                                      instance_chooser::outcome::answered,
                                      aLoad,
                                      mNow);
    duration elapsed = mNow - aRequest->began;
    if (elapsed <= mPattern.latency_target) {
      ++mOutcome.on_time;
    } else if (elapsed <= mPattern.deadline) {
      ++mOutcome.late;
    }
  }

  traffic_pattern mPattern;
  std::mt19937_64 mRandom;
  time_point mNow = time_point(std::chrono::hours(1));
  std::priority_queue<event> mEvents;
  std::uint64_t mOrder = 0;
  run_id mLastId = 0;
  std::vector<std::unique_ptr<choice_policy>> mNodes;
  std::vector<model_instance> mInstances;
  std::vector<instance_candidate> mCandidates;
  std::map<run_id, std::shared_ptr<model_request>> mWaiting;
  traffic_outcome mOutcome;
};

} // namespace

double
traffic_outcome::OnTimeFraction() const
{
  return offered == 0 ? 0 : static_cast<double>(on_time) / offered;
}

std::unique_ptr<choice_policy>
ExpectedTimePolicy(std::uint64_t aSeed)
{
  return std::make_unique<expected_time_policy>(aSeed);
}

std::unique_ptr<choice_policy>
RoundRobinPolicy(std::uint64_t aSeed)
{
  return std::make_unique<round_robin_policy>(aSeed);
}

std::unique_ptr<choice_policy>
LeastOutstandingPolicy(std::uint64_t aSeed)
{
  return std::make_unique<least_outstanding_policy>(aSeed);
}

traffic_outcome
SimulateTraffic(const traffic_pattern& aPattern,
                const policy_factory& aPolicies)
{
  return traffic_model(aPattern, aPolicies).Simulate();
}

} // namespace eelgrasstrack::test
