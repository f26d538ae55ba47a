// Randomised long run of many fleet nodes on virtual time. Faults: messages are
// reordered and lost, the store is unavailable or slow, its answers are lost,
// operators submit concurrent changes, nodes are killed (also many at once),
// restarted and paused, failure domains are partitioned, open links and watches
// fall silent. At the end all faults are removed, and the nodes must agree.
#include <cstdio>
#include <cxxopts.hpp>

#include "base/invariant.h"
#include "base/log.h"
#include "harness/virtual-fleet.h"

namespace {

using namespace eelgrasstrack;
using namespace eelgrasstrack::harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change that the store accepted, and the version that it created.
struct accepted_change
{
  std::string operation;
  std::uint64_t version;
};

/// One run of random actions, reproducible from its seed.
class random_run
{
public:
  random_run(std::uint64_t aSeed, std::size_t aNodes)
    : mRandom(aSeed)
    , mFleet(virtual_fleet_options{ aNodes, 4, aSeed })
  {
  }

  bool Run(std::size_t aSteps)
  {
    mFleet.StartAll();
    mFleet.Advance(seconds(5));
    for (std::size_t step = 0; step < aSteps; ++step) {
      RunRandomAction();
      mFleet.Advance(milliseconds(Draw(10, 1500)));
    }
    RecoverFromFaults();
    return CheckResults();
  }

private:
  std::size_t Draw(std::size_t aLow, std::size_t aHigh)
  {
    return std::uniform_int_distribution<std::size_t>(aLow, aHigh)(mRandom);
  }

  std::size_t RandomNode() { return Draw(0, mFleet.Size() - 1); }

  void RunRandomAction()
  {
    constexpr std::size_t kActions = 40;
    switch (Draw(0, kActions - 1)) {
      case 0:
        mFleet.Store().SetUnavailable(true);
        break;
      case 1:
      case 2:
        mFleet.Store().SetUnavailable(false);
        break;
      case 3:
        mFleet.Store().SetLostAnswerChance(0.5);
        break;
      case 4:
        mFleet.Store().SetLostAnswerChance(0);
        break;
      case 5:
        mFleet.Store().SetDelay(milliseconds(Draw(1, 800)));
        break;
      case 6:
        mFleet.Store().SetDelay(milliseconds(3));
        break;
      case 7:
        mFleet.SetDomainPartitioned(Draw(0, 3), true);
        break;
      case 8:
      case 9:
      case 10:
        ReconnectDomains();
        break;
      case 11:
        mFleet.Pause(RandomNode(), milliseconds(Draw(100, 20000)));
        break;
      case 12:
        KillRandomNodes();
        break;
      case 13:
      case 14:
      case 15:
        StartStoppedNodes();
        break;
      case 16:
      case 17:
        mFleet.Kill(RandomNode());
        break;
      case 18:
        mFleet.Leave(RandomNode());
        break;
      case 19:
      case 20:
        PublishRandomRollout();
        break;
      case 21:
      case 22:
        SetRandomUpstream();
        break;
      case 23:
      case 24:
        // Two concurrent changes; the store may become unavailable shortly
        // after.
        SubmitRandomChange(RandomNode());
        SubmitRandomChange(RandomNode());
        if (Draw(0, 3) == 0) {
          mFleet.Advance(milliseconds(Draw(1, 20)));
          mFleet.Store().SetUnavailable(true);
        }
        break;
      case 25:
        mFleet.SilenceOpenLinks();
        break;
      case 26:
        mFleet.Store().SilencePendingWatches();
        break;
      default:
        SubmitRandomChange(RandomNode());
        break;
    }
  }

  void SubmitRandomChange(std::size_t aNode)
  {
    if (!mFleet.Running(aNode)) {
      return;
    }
    std::string operation = "op-" + std::to_string(mNextOperation++);
    config_command command;
    command.operation_id = operation;
    command.rebase_on_conflict = Draw(0, 1) == 0;
    std::string name = "service-" + std::to_string(Draw(0, 9));
    command.edit = [name, operation](document_map& aDocuments) {
      service_declaration service;
      service.name = name;
      service.version = operation;
      config_document document = DocumentOf(service);
      aDocuments[document.key] = document.text;
      return result<void>();
    };
    mFleet.Node(aNode).Submit(
      command, [this, operation](const result<accepted_config>& aAccepted) {
        if (aAccepted) {
          mAccepted.push_back({ operation, aAccepted->version });
        }
      });
  }

  /// Kills each node with the same probability, drawn from 20 % to 100 %.
  void KillRandomNodes()
  {
    std::size_t percent = Draw(20, 100);
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (Draw(1, 100) <= percent) {
        mFleet.Kill(i);
      }
    }
  }

  void StartStoppedNodes()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (!mFleet.Running(i)) {
        mFleet.Start(i);
      }
    }
  }

  void ReconnectDomains()
  {
    for (std::size_t domain = 0; domain < 4; ++domain) {
      mFleet.SetDomainPartitioned(domain, false);
    }
  }

  void PublishRandomRollout()
  {
    std::size_t node = RandomNode();
    if (!mFleet.Running(node)) {
      return;
    }
    rollout_state state;
    state.id = "move-" + std::to_string(Draw(0, 2));
    const rollout_state* known = mFleet.Node(node).Rollouts().Find(state.id);
    state = known == nullptr ? state : *known;
    state.share = static_cast<std::uint32_t>(Draw(0, kFullShare));
    state.halted = state.halted || Draw(0, 9) == 0;
    state.halt_reason = state.halted ? "random" : "";
    mFleet.Node(node).PublishRollout(state);
  }

  void SetRandomUpstream()
  {
    std::size_t node = RandomNode();
    if (mFleet.Running(node)) {
      mFleet.Node(node).SetUpstream(
        upstream_record{ "service-1", "v1", 8, Draw(0, 1) == 0 });
    }
  }

  void RecoverFromFaults()
  {
    mFleet.Store().SetUnavailable(false);
    mFleet.Store().SetLostAnswerChance(0);
    mFleet.Store().SetDelay(milliseconds(3));
    ReconnectDomains();
    StartStoppedNodes();
    mFleet.Advance(seconds(90));
    SubmitRandomChange(0);
    mFleet.Advance(seconds(15));
  }

  /// Compares the nodes, the store and the accepted changes after the recovery.
  bool CheckResults()
  {
    bool good = true;
    auto report = [&good](const std::string& aText) {
      std::printf("BROKEN %s\n", aText.c_str());
      good = false;
    };
    for (const std::string& broken : mFleet.Violations()) {
      report(broken);
    }
    std::string disagreement = mFleet.FindDisagreement();
    if (!disagreement.empty()) {
      report("after recovery: " + disagreement);
    }
    result<config_state> stored =
      DecodeConfigState(mFleet.Store().ValueOf(kConfigKey));
    if (!stored) {
      report("stored configuration cannot be decoded");
      return false;
    }
    if (stored->version != mFleet.Node(0).Config()->version) {
      report("node 0 does not have the stored version");
    }
    std::map<std::uint64_t, std::string> byVersion;
    for (const accepted_change& each : mAccepted) {
      auto [known, added] = byVersion.emplace(each.version, each.operation);
      if (!added && known->second != each.operation) {
        report("two operations were accepted as version " +
               std::to_string(each.version));
      }
      const accepted_operation* kept = stored->FindOperation(each.operation);
      // The store keeps the latest 256 operations.
      bool recent = each.version + 200 > stored->version;
      if (recent && (kept == nullptr || kept->version != each.version)) {
        report("accepted operation " + each.operation +
               " is not in the store with its version");
      }
    }
    std::printf("%zu changes accepted of %zu, stored version %llu, %llu store "
                "calls, peak %llu reads/s %llu writes/s\n",
                mAccepted.size(),
                mNextOperation,
                static_cast<unsigned long long>(stored->version),
                static_cast<unsigned long long>(mFleet.Store().Calls()),
                static_cast<unsigned long long>(mFleet.Store().PeakReads()),
                static_cast<unsigned long long>(mFleet.Store().PeakWrites()));
    for (std::size_t i = 0; i < kInvariantCount; ++i) {
      auto which = static_cast<invariant>(i);
      invariant_count count = CountOf(which);
      if (count.broken > 0) {
        report(std::string(NameOf(which)));
      }
    }
    return good;
  }

  std::mt19937_64 mRandom;
  virtual_fleet mFleet;
  std::vector<accepted_change> mAccepted;
  std::size_t mNextOperation = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("fleet-random");
  options.add_options()(
    "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "steps", "", cxxopts::value<std::size_t>()->default_value("1000"))(
    "runs", "", cxxopts::value<std::size_t>()->default_value("1"))(
    "nodes", "", cxxopts::value<std::size_t>()->default_value("16"));
  cxxopts::ParseResult flags = options.parse(aCount, aArguments);
  ConfigureLog(log_level::error, log_format::text);
  SetAbortOnBrokenInvariant(true);
  bool good = true;
  auto first = flags["seed"].as<std::uint64_t>();
  for (std::size_t i = 0; i < flags["runs"].as<std::size_t>(); ++i) {
    std::printf("seed %llu: ", static_cast<unsigned long long>(first + i));
    std::fflush(stdout);
    random_run run(first + i, flags["nodes"].as<std::size_t>());
    good = run.Run(flags["steps"].as<std::size_t>()) && good;
  }
  std::printf("%s\n", good ? "all checks passed" : "checks failed");
  return good ? 0 : 1;
}
