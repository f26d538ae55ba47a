#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "base/body-budget.h"

using namespace eelgrasstrack;

namespace {

constexpr std::size_t kLimit = 1U << 20U;
constexpr std::size_t kLarge = 100'000;
constexpr std::size_t kSmall = 10'000;

} // namespace

// Guards against bytes that are kept beyond the limit.
TEST_CASE("body budget, used up, grants no more and changes nothing",
          "[body-budget]")
{
  body_budget budget(kLimit);
  body_reservation holder(budget);
  CHECK_FALSE(holder.Resize(kLimit + 1));
  CHECK(budget.HeldBytes() == 0);
  CHECK(holder.Bytes() == 0);
  REQUIRE(holder.Resize(kLarge));
  CHECK_FALSE(holder.Resize(kLimit));
  CHECK(budget.HeldBytes() == kLarge);
}

// Guards against large bodies that keep out ordinary small requests.
TEST_CASE("body budget, large holders take all they can, small ones still fit",
          "[body-budget]")
{
  body_budget budget(kLimit);
  std::vector<body_reservation> large;
  while (true) {
    body_reservation next(budget);
    if (!next.Resize(kLarge)) {
      break;
    }
    large.push_back(std::move(next));
  }
  CHECK(budget.HeldBytes() <= kLimit - kLimit / body_budget::kSmallPart);
  std::size_t small = 0;
  std::vector<body_reservation> kept;
  while (small < 1000) {
    body_reservation next(budget);
    if (!next.Resize(kSmall)) {
      break;
    }
    kept.push_back(std::move(next));
    ++small;
  }
  CHECK(small >= kLimit / body_budget::kSmallPart / kSmall);
  CHECK(budget.HeldBytes() <= kLimit);
}

// Guards against bytes that are never given back, which would refuse all
// requests in the end.
TEST_CASE("body budget, holders end or move, bytes are given back once",
          "[body-budget]")
{
  body_budget budget(kLimit);
  {
    body_reservation first(budget);
    REQUIRE(first.Resize(kLarge));
    body_reservation second(std::move(first));
    CHECK(budget.HeldBytes() == kLarge);
    body_reservation third(budget);
    REQUIRE(third.Resize(kSmall));
    third = std::move(second);
    CHECK(budget.HeldBytes() == kLarge);
    REQUIRE(third.Resize(kSmall));
    CHECK(budget.HeldBytes() == kSmall);
    body_reservation fourth = third.Take();
    CHECK(fourth.Bytes() == kSmall);
    CHECK(third.Bytes() == 0);
    CHECK_FALSE(third.Resize(kLimit));
    CHECK(budget.HeldBytes() == kSmall);
  }
  CHECK(budget.HeldBytes() == 0);
}

// Guards against a lowered limit that makes the arithmetic wrap around.
TEST_CASE("body budget, limit lowered below what is held, grants none until "
          "enough is given back",
          "[body-budget]")
{
  body_budget budget(kLimit);
  body_reservation holder(budget);
  REQUIRE(holder.Resize(kLarge));
  budget.SetLimit(kLarge / 2);
  body_reservation next(budget);
  CHECK_FALSE(next.Resize(1));
  CHECK(holder.Resize(kLarge / 4));
  CHECK(next.Resize(1));
}

// Guards against an account that forgets bytes that are kept beyond the limit.
TEST_CASE("body budget, bytes kept beyond the limit, counts them and is full",
          "[body-budget]")
{
  body_budget budget(kLimit);
  {
    body_reservation answers(budget);
    answers.Force(kLimit + kLarge);
    CHECK(budget.HeldBytes() == kLimit + kLarge);
    CHECK(budget.IsFull());
    body_reservation other(budget);
    CHECK_FALSE(other.Resize(kSmall));
    answers.Force(kSmall);
    CHECK_FALSE(budget.IsFull());
    CHECK(other.Resize(kSmall));
  }
  CHECK(budget.HeldBytes() == 0);
}

// Guards against a text that takes more memory than it has reserved.
TEST_CASE("body budget, text grows within its reservation or not at all",
          "[body-budget]")
{
  body_budget budget(kLimit);
  body_reservation held(budget);
  std::string text;
  const std::string part(kSmall, 'x');
  while (AppendReserved(text, part, held)) {
    REQUIRE(text.capacity() <= held.Bytes());
  }
  CHECK(text.size() >= kLarge);
  CHECK(text.size() % kSmall == 0);
  CHECK(budget.HeldBytes() <= kLimit);
}
