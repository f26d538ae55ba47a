#include "base/invariant.h"

#include <array>
#include <cstdlib>

#include "base/log.h"

namespace eelgrasstrack {

namespace {

// Names in logs and metrics, indexed by `invariant`.
constexpr std::array<std::string_view, kInvariantCount> kNames{
  "version_only_rises",      "no_dangling_reference", "snapshot_whole",
  "single_dispatch",         "not_run_is_true",       "answer_matches_request",
  "share_frozen_after_halt", "no_call_after_halt",    "exposure_only_grows",
  "single_outcome",
};

std::array<invariant_count, kInvariantCount> sCounts{};
bool sAbort = false;

} // namespace

std::string_view
NameOf(invariant aInvariant)
{
  return kNames[static_cast<std::size_t>(aInvariant)];
}

bool
CheckInvariant(invariant aInvariant, bool aHolds, const std::string& aDetail)
{
  invariant_count& count = sCounts[static_cast<std::size_t>(aInvariant)];
  ++count.checked;
  if (aHolds) {
    return true;
  }
  ++count.broken;
  LogEvent(log_level::error,
           "invariant_broken",
           { { "invariant", std::string(NameOf(aInvariant)) },
             { "detail", aDetail } });
  if (sAbort) {
    std::abort();
  }
  return false;
}

bool
CheckInvariant(invariant aInvariant, bool aHolds)
{
  static const std::string sNoDetail;
  return CheckInvariant(aInvariant, aHolds, sNoDetail);
}

invariant_count
CountOf(invariant aInvariant)
{
  return sCounts[static_cast<std::size_t>(aInvariant)];
}

void
SetAbortOnBrokenInvariant(bool aAbort)
{
  sAbort = aAbort;
}

} // namespace eelgrasstrack
