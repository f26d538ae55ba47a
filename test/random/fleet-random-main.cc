// A long randomised run of the decision code of many nodes on a virtual clock:
// messages cross and are lost, the store goes out, answers are lost, operators
// race, nodes are killed, restarted in herds and paused, domains are cut off.
// At the end everything heals, and the nodes must agree.
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

struct accepted
{
  std::string operation;
  std::uint64_t version;
};

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
      Act();
      mFleet.Advance(milliseconds(Draw(10, 1500)));
    }
    Heal();
    return Verdict();
  }

private:
  std::size_t Draw(std::size_t aLow, std::size_t aHigh)
  {
    return std::uniform_int_distribution<std::size_t>(aLow, aHigh)(mRandom);
  }

  std::size_t AnyNode() { return Draw(0, mFleet.Size() - 1); }

  void Act()
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
        mFleet.SetDomainCut(Draw(0, 3), true);
        break;
      case 8:
      case 9:
      case 10:
        HealDomains();
        break;
      case 11:
        mFleet.Pause(AnyNode(), milliseconds(Draw(100, 20000)));
        break;
      case 12:
        KillHerd();
        break;
      case 13:
      case 14:
      case 15:
        StartMissing();
        break;
      case 16:
      case 17:
        mFleet.Kill(AnyNode());
        break;
      case 18:
        mFleet.Leave(AnyNode());
        break;
      case 19:
      case 20:
        PublishRollout();
        break;
      case 21:
      case 22:
        ChangeUpstream();
        break;
      case 23:
      case 24:
        // Two operators race, and the store may go out right after.
        Change(AnyNode());
        Change(AnyNode());
        if (Draw(0, 3) == 0) {
          mFleet.Advance(milliseconds(Draw(1, 20)));
          mFleet.Store().SetUnavailable(true);
        }
        break;
      default:
        Change(AnyNode());
        break;
    }
  }

  void Change(std::size_t aNode)
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

  void KillHerd()
  {
    std::size_t percent = Draw(20, 100);
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (Draw(1, 100) <= percent) {
        mFleet.Kill(i);
      }
    }
  }

  void StartMissing()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (!mFleet.Running(i)) {
        mFleet.Start(i);
      }
    }
  }

  void HealDomains()
  {
    for (std::size_t domain = 0; domain < 4; ++domain) {
      mFleet.SetDomainCut(domain, false);
    }
  }

  void PublishRollout()
  {
    std::size_t node = AnyNode();
    if (!mFleet.Running(node)) {
      return;
    }
    rollout_state state;
    state.id = "move-" + std::to_string(Draw(0, 2));
    const rollout_state* known = mFleet.Node(node).Rollouts().Find(state.id);
    state = known == nullptr ? state : *known;
    state.share = static_cast<std::uint32_t>(Draw(0, kWholeShare));
    state.halted = state.halted || Draw(0, 9) == 0;
    state.halt_reason = state.halted ? "random" : "";
    mFleet.Node(node).Publish(state);
  }

  void ChangeUpstream()
  {
    std::size_t node = AnyNode();
    if (mFleet.Running(node)) {
      mFleet.Node(node).SetUpstream(
        upstream_record{ "service-1", "v1", 8, Draw(0, 1) == 0 });
    }
  }

  void Heal()
  {
    mFleet.Store().SetUnavailable(false);
    mFleet.Store().SetLostAnswerChance(0);
    mFleet.Store().SetDelay(milliseconds(3));
    HealDomains();
    StartMissing();
    mFleet.Advance(seconds(90));
    Change(0);
    mFleet.Advance(seconds(15));
  }

  bool Verdict()
  {
    bool good = true;
    auto blame = [&good](const std::string& aText) {
      std::printf("BROKEN %s\n", aText.c_str());
      good = false;
    };
    for (const std::string& broken : mFleet.Broken()) {
      blame(broken);
    }
    std::string disagreement = mFleet.Disagreement();
    if (!disagreement.empty()) {
      blame("after healing: " + disagreement);
    }
    result<config_state> stored =
      DecodeConfigState(mFleet.Store().ValueOf(kConfigKey));
    if (!stored) {
      blame("the store holds no configuration");
      return false;
    }
    if (stored->version != mFleet.Node(0).Config()->version) {
      blame("the nodes do not have the stored version");
    }
    std::map<std::uint64_t, std::string> byVersion;
    for (const accepted& each : mAccepted) {
      auto [known, added] = byVersion.emplace(each.version, each.operation);
      if (!added && known->second != each.operation) {
        blame("two operations were accepted as version " +
              std::to_string(each.version));
      }
      const accepted_operation* kept = stored->FindOperation(each.operation);
      bool recent = each.version + 200 > stored->version;
      if (recent && (kept == nullptr || kept->version != each.version)) {
        blame("accepted operation " + each.operation + " is not in the store");
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
        blame(std::string(NameOf(which)));
      }
    }
    return good;
  }

  std::mt19937_64 mRandom;
  virtual_fleet mFleet;
  std::vector<accepted> mAccepted;
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
  std::printf("%s\n", good ? "all promises held" : "promises were broken");
  return good ? 0 : 1;
}
