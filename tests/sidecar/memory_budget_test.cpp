// The memory budget, and the bytes that are charged to it.
#include "sidecar/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <cstring>
#include <memory>
#include <string>
#include <utility>

#include "gtest/gtest.h"
#include "sidecar/held_bytes.h"
#include "sidecar/request_body.h"
#include "sidecar/response_body.h"

namespace lb::sidecar {
namespace {

constexpr std::size_t kLimit = 1000;
constexpr std::size_t kCapacity = 8192;  // of a stream, in bytes

const std::string kSmall(kMinBufferedBody, 's');
const std::string kMedium(kMinBufferedBody + 1, 'm');

class MemoryBudgetTest : public ::testing::Test {
 protected:
  std::shared_ptr<MemoryBudget> MakeBudget(std::size_t limit) {
    return std::make_shared<MemoryBudget>(limit, [this] { ++exhaustions_; });
  }

  int exhaustions_ = 0;
  std::shared_ptr<MemoryBudget> budget_ = MakeBudget(kLimit);
};

TEST_F(MemoryBudgetTest, IsExhaustedAboveItsLimitOnly) {
  MemoryBudget::Charge charge(budget_);
  charge.Set(kLimit);
  EXPECT_FALSE(budget_->IsExhausted());

  charge.Set(kLimit + 1);
  EXPECT_TRUE(budget_->IsExhausted());
  EXPECT_TRUE(charge.IsBudgetExhausted());

  charge.Set(0);
  EXPECT_FALSE(budget_->IsExhausted());
}

TEST_F(MemoryBudgetTest, ReportsEachTimeItBecomesExhausted) {
  MemoryBudget::Charge charge(budget_);
  charge.Set(kLimit + 1);
  charge.Set(kLimit + 2);
  EXPECT_EQ(exhaustions_, 1);

  charge.Set(0);
  charge.Set(kLimit + 1);
  EXPECT_EQ(exhaustions_, 2);
}

TEST_F(MemoryBudgetTest, ChargeMovesWithItsBytesAndEndsWithThem) {
  HeldBytes first(budget_);
  first.Append(kSmall.data(), kSmall.size());
  const std::size_t charged = budget_->charged();
  EXPECT_GE(charged, kSmall.size());

  {
    const HeldBytes second = std::move(first);
    EXPECT_TRUE(second == kSmall);
    EXPECT_EQ(budget_->charged(), charged);
  }
  EXPECT_EQ(budget_->charged(), 0U);

  first.Append("x", 1);  // NOLINT(bugprone-use-after-move): HeldBytes says what is left of it
  EXPECT_GT(budget_->charged(), 0U) << "the bytes that were moved from count against the same budget";
  first.Clear();
  EXPECT_EQ(budget_->charged(), 0U);
}

TEST_F(MemoryBudgetTest, ReservingTakesNoMoreRoomThanAskedFor) {
  HeldBytes held(budget_);
  held.Append(kSmall.data(), kSmall.size());

  held.Reserve(kSmall.size() + 100);

  EXPECT_EQ(budget_->charged(), kSmall.size() + 100);
  EXPECT_TRUE(held == kSmall);
}

// Guards against holding bodies without a limit on their sum.
TEST_F(MemoryBudgetTest, RequestBodyIsStreamedWhileTheBudgetIsExhausted) {
  RequestBody body({[] { return ReceiveProgress{}; }, [] {}}, budget_);
  body.Append(kSmall);
  EXPECT_FALSE(body.IsTooLargeToHold()) << "a stream would take as much";

  body.Append("x");
  EXPECT_TRUE(budget_->IsExhausted());
  EXPECT_TRUE(body.IsTooLargeToHold());

  boost::asio::io_context io;
  const auto owner = std::make_shared<int>();
  const Body stream = body.StartStream(io, kCapacity, boost::none, Now(), std::weak_ptr<void>(owner));
  EXPECT_FALSE(body.IsTooLargeToHold());
  EXPECT_TRUE(stream->Read() == kSmall + "x");
  EXPECT_EQ(budget_->charged(), 0U) << "nothing is held once the stream was read";
}

TEST_F(MemoryBudgetTest, ResponseBodyIsStreamedWhileTheBudgetIsExhausted) {
  for (const std::size_t limit : {kLimit, std::size_t{1024} * 1024}) {
    const auto budget = MakeBudget(limit);
    ResponseBody body(budget);
    std::memcpy(body.PreparePart(), kMedium.data(), kMedium.size());
    body.TakePart(kMedium.size());

    EXPECT_EQ(body.IsTooLargeToCollect(), limit == kLimit);
    EXPECT_FALSE(body.IsOverLimit());
  }
}

TEST_F(MemoryBudgetTest, DiscardedResponseIsCountedAndNotCharged) {
  ResponseBody body(budget_);
  for (std::size_t size = 0; size <= kMaxBufferedBody; size += ResponseBody::PartSize()) {
    EXPECT_FALSE(body.IsOverLimit());
    body.PreparePart();
    body.DiscardPart(ResponseBody::PartSize());
  }

  EXPECT_TRUE(body.IsOverLimit());
  EXPECT_EQ(body.collected(), 0U);
  EXPECT_EQ(budget_->charged(), 0U);
}

}  // namespace
}  // namespace lb::sidecar
