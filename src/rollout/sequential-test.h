#ifndef EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_
#define EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_

#include <array>
#include <cstdint>

namespace eelgrasstrack {

/// A sequential test of the null hypothesis that the new version has no higher
/// rate of bad events (failures or slow calls) than the old one.
///
/// Let `s` be the new version's share of the calls. If both versions are
/// equally good, an event belongs to the new version with probability `s`. If
/// the new version has `q` times the rate of the old one, the probability is
/// `q s / (q s + 1 - s)`. Each event multiplies the statistic by the ratio of
/// the two probabilities. Faults that affect both versions equally cancel out,
/// and `s` may change at any time.
///
/// The statistic is a mixture over `q` and over the time at which the fault
/// begins: half of the weight is on the start of the test, and
/// `AddChangePointWeight` adds the rest over time. Under the null hypothesis it
/// is a non-negative supermartingale with an initial value of at most 1, so the
/// probability that it ever reaches `A` is at most 1 / A for any number of
/// calls (Ville, 1939; mixtures over change points as in Shin, Ramdas and
/// Rinaldo, 2023).
class sequential_test
{
public:
  sequential_test();

  /// Adds events that occurred while the new version's share of the calls was
  /// `aShare` (0 to 1). They are ignored at a share of 0 or 1, which leaves
  /// nothing to compare.
  void AddEvents(double aShare,
                 std::uint32_t aOldEvents,
                 std::uint32_t aNewEvents);

  /// Adds the weight of a fault that begins now. The sum over all calls of this
  /// function is limited to one half.
  void AddChangePointWeight(double aWeight);

  /// The current value of the statistic.
  double Value() const;

private:
  static constexpr std::size_t kRatioCount = 3;
  /// The values of `q` in the mixture.
  static constexpr std::array<double, kRatioCount> kRatios{ 3, 10, 40 };

  std::array<double, kRatioCount> mValues;
  double mRemainingWeight;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_
