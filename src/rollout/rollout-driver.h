#ifndef EELGRASSTRACK_ROLLOUT_ROLLOUT_DRIVER_H_
#define EELGRASSTRACK_ROLLOUT_ROLLOUT_DRIVER_H_

#include <deque>
#include <map>
#include <optional>

#include "config/snapshot.h"
#include "rollout/evidence-recorder.h"
#include "rollout/rollout-evaluator.h"
#include "rollout/rollout-plan.h"
#include "rollout/rollout-state.h"

namespace eelgrasstrack {

/// The functions of the node that the driver depends on.
class rollout_environment
{
public:
  virtual ~rollout_environment() = default;
  virtual const std::string& SelfNode() const = 0;
  virtual std::uint64_t SelfIncarnation() const = 0;
  virtual const snapshot_ptr& RolloutConfig() const = 0;
  virtual const rollout_state_table& RolloutStates() const = 0;
  virtual std::size_t FleetSize() const = 0;
  /// The nodes that collect the evidence of a rollout, in order of preference.
  virtual std::vector<std::string> CollectorsOf(
    const std::string& aRollout) const = 0;
  /// Total slots of those upstreams of a version that accept calls.
  virtual std::uint32_t SlotsOf(const std::string& aService,
                                const std::string& aVersion) const = 0;
  virtual void PublishState(const rollout_state& aState) = 0;
  virtual void SendReport(const std::string& aCollector,
                          evidence_report aReport) = 0;
  virtual void SendAck(const std::string& aReporter,
                       const std::string& aRollout,
                       std::uint64_t aIncarnation,
                       std::uint64_t aNextWindow) = 0;
  /// Writes the outcome of a rollout to the store. The driver repeats the call
  /// until the configuration contains the outcome.
  virtual void RecordOutcome(const std::string& aRollout,
                             rollout_phase aPhase,
                             const rollout_state& aState) = 0;
};

/// The state of a rollout, for operators.
struct rollout_status
{
  rollout_declaration declared;
  rollout_state state;
  plan_output plan;
  /// Whether this node collects evidence. If so, the evidence below is that of
  /// the fleet, otherwise that of this node only.
  bool is_collector = false;
  /// Greatest test statistic, and the threshold that halts the rollout.
  double greatest_statistic = 0;
  double threshold = 0;
  std::map<std::string, route_evidence> routes;
  evidence_totals totals;
  /// Greatest share that the new version's slots can serve.
  std::uint32_t capacity_share = 0;
};

/// Runs the open rollouts at one node. Every node reports its evidence to the
/// collectors and halts a rollout on its own evidence. A collector also
/// evaluates the evidence of the fleet and decides on the next step.
class rollout_driver
{
public:
  rollout_driver(rollout_environment& aEnvironment, const clock_source& aClock);

  /// Must be called about four times a second.
  void Tick();

  void OnAttemptStarted(const std::string& aRollout,
                        std::uint64_t aId,
                        const recorded_attempt& aAttempt);
  void OnAttemptFinished(const std::string& aRollout,
                         std::uint64_t aId,
                         const recorded_attempt& aAttempt,
                         bool aCounts);
  void OnCallerHurt(const std::string& aRollout, const std::string& aCaller);

  void OnReport(const evidence_report& aReport);
  void OnAck(const std::string& aCollector,
             const std::string& aRollout,
             std::uint64_t aIncarnation,
             std::uint64_t aNextWindow);

  /// The status of a rollout, or nothing if it is not in the configuration.
  std::optional<rollout_status> StatusOf(const std::string& aRollout) const;

private:
  /// A window that may still have to be sent to a collector.
  struct numbered_window
  {
    std::uint64_t number;
    evidence_window window;
  };

  /// How much of the evidence was sent to one collector.
  struct collector_progress
  {
    /// Number of the first window that the collector has not acknowledged.
    std::uint64_t next_window = 0;
    time_point last_sent{};
    /// Number of the first window that has not been sent.
    std::uint64_t sent_up_to = 0;
  };

  struct open_rollout
  {
    open_rollout(const std::string& aId, time_point aNow)
      : recorder(aId, aNow)
      , local_evaluator(evaluator_options{})
      , fleet_evaluator(evaluator_options{})
      , start_time(aNow)
    {
    }

    evidence_recorder recorder;
    rollout_evaluator local_evaluator;
    rollout_evaluator fleet_evaluator;
    std::deque<numbered_window> windows;
    /// Windows without failures and slow calls, summed by route until they are
    /// reported.
    std::map<std::string, evidence_window> eventless;
    std::uint64_t next_window = 0;
    std::uint64_t next_report = 1;
    std::map<std::string, collector_progress> collectors;
    time_point start_time{};
    time_point last_eventless_report{};
    time_point last_tick{};
    /// Time of the last change of the share, in Unix milliseconds.
    std::int64_t raised_ms = 0;
    /// Share at the last tick.
    std::uint32_t seen_share = 0;
    /// Trials of the new version at the last change of the share.
    std::uint64_t trials_at_raise = 0;
    plan_output plan;
    time_point last_record_attempt{};
  };

  void SyncWithConfig(time_point aNow);
  void ReportEvidence(const std::string& aId,
                      open_rollout& aOpen,
                      time_point aNow);
  void QueueWindow(open_rollout& aOpen, evidence_window aWindow);
  void SendReportTo(const std::string& aCollector,
                    const std::string& aId,
                    open_rollout& aOpen,
                    bool aEventlessDue,
                    time_point aNow);
  void EvaluateAndPlan(const rollout_declaration& aRollout,
                       open_rollout& aOpen,
                       time_point aNow);
  /// Publishes a halt or an ejection. Other results change nothing.
  void ApplyEvaluation(const std::string& aId,
                       const evaluation_result& aResult);
  void ApplyPlan(const rollout_declaration& aRollout,
                 open_rollout& aOpen,
                 bool aSuspicious);
  plan_input PlanInput(const rollout_declaration& aRollout,
                       const open_rollout& aOpen,
                       bool aSuspicious) const;
  /// Records the outcome in the store if the rollout is halted or complete and
  /// this node is a collector.
  void RecordIfDecided(const std::string& aId,
                       open_rollout& aOpen,
                       time_point aNow);
  std::size_t CountCoveredRoutes(const rollout_declaration& aRollout) const;
  bool IsCollector(const std::string& aId) const;
  const rollout_state& StateOf(const std::string& aId) const;

  rollout_environment& mEnvironment;
  const clock_source& mClock;
  std::map<std::string, open_rollout> mOpen;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_ROLLOUT_DRIVER_H_
