#ifndef EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_
#define EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_

#include <array>
#include <cstdint>

namespace eelgrasstrack {

/// A sequential test of "the new version has no more bad events (failures, or
/// slow calls) than the old one".
///
/// Given that an event happened, it is the new version's with probability
/// `s` if both versions are equally good, where `s` is the new version's share
/// of the calls at that time, and with probability `q s / (q s + 1 - s)` if the
/// new version has `q` times the rate. Each event multiplies a statistic by the
/// ratio of the two. What hits both versions alike cancels out, and `s` may
/// change at any time.
///
/// The statistic is a mixture over `q` and over the moment when the fault
/// begins: half of the weight lies on the start, the rest is added evenly while
/// `AddChangePointWeight` is called. Under "no worse" it is a non-negative
/// supermartingale that starts at no more than 1, so the chance that it ever
/// reaches `A` is at most 1 / A, whatever the number of calls (Ville, 1939;
/// mixtures over change points as in Shin, Ramdas and Rinaldo, 2023).
class sequential_test
{
public:
  sequential_test();

  /// Counts events at a time when the new version's share was `aShare` (0 to
  /// 1). A share of 0 or 1 says nothing.
  void AddEvents(double aShare,
                 std::uint32_t aOldEvents,
                 std::uint32_t aNewEvents);

  /// Adds the weight of faults that begin now. The sum over all calls is
  /// limited to one half.
  void AddChangePointWeight(double aPart);

  double Value() const;

private:
  static constexpr std::size_t kRatioCount = 3;
  static constexpr std::array<double, kRatioCount> kRatios{ 3, 10, 40 };

  std::array<double, kRatioCount> mValues;
  double mRemainingWeight;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_ROLLOUT_SEQUENTIAL_TEST_H_
