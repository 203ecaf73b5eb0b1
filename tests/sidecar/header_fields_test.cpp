#include "sidecar/header_fields.h"

#include <memory>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/http.h"

namespace lb::sidecar {
namespace {

RequestHead Head(const std::shared_ptr<MemoryBudget>& budget = nullptr) {
  http::request_header<> parsed;
  parsed.method(http::verb::get);
  parsed.target("/page/k");
  parsed.insert("X-A", "1");
  parsed.insert("x-b", "");
  parsed.insert("X-a", "2");
  return ToRequestHead(parsed, budget);
}

std::string Text(const RequestHead& head) {
  const HeaderFields::writer writer(head, head.version(), head.method());
  std::string text;
  for (const auto& part : writer.get()) text.append(static_cast<const char*>(part.data()), part.size());
  return text;
}

// Beast puts the fields of one name next to each other.
TEST(HeaderFields, KeepsSpellingAndRepeatedFields) {
  EXPECT_EQ(Text(Head()), "GET /page/k HTTP/1.1\r\nX-A: 1\r\nX-a: 2\r\nx-b: \r\n\r\n");
}

TEST(HeaderFields, FindsNamesInAnyCase) {
  const RequestHead head = Head();

  EXPECT_EQ(head["x-a"], "1");
  EXPECT_EQ(head.Values("X-A").size(), 2U);
  EXPECT_EQ(head.count("X-B"), 1U);
  EXPECT_EQ(head.count("X"), 0U);
  EXPECT_EQ(head["X-C"], "");
}

TEST(HeaderFields, SetReplacesAllOfTheName) {
  RequestHead head = Head();

  head.set("X-A", "3");
  head.erase("X-B");

  EXPECT_EQ(Text(head), "GET /page/k HTTP/1.1\r\nX-A: 3\r\n\r\n");
}

TEST(HeaderFields, TellsWhetherTheConnectionIsKept) {
  RequestHead head = Head();
  EXPECT_TRUE(head.get_keep_alive_impl(11));
  EXPECT_FALSE(head.get_keep_alive_impl(10));

  head.set("Connection", "x, Close");
  EXPECT_FALSE(head.get_keep_alive_impl(11));
  head.set("Connection", "Keep-Alive");
  EXPECT_TRUE(head.get_keep_alive_impl(10));
}

TEST(HeaderFields, RemovesTheFieldsThatConnectionNames) {
  RequestHead head = Head();
  head.set("Connection", "close, x-A");
  head.set("Keep-Alive", "1");

  RemoveHopByHop(head);

  EXPECT_EQ(Text(head), "GET /page/k HTTP/1.1\r\nx-b: \r\n\r\n");
}

TEST(HeaderFields, ChargesTheBudgetForWhatItHolds) {
  const auto budget = std::make_shared<MemoryBudget>(1000);
  {
    const RequestHead head = Head(budget);
    const std::size_t charged = budget->charged();
    EXPECT_GE(charged, head.size());

    RequestHead copy = head;
    copy.set("X-C", "3");
    EXPECT_GE(budget->charged(), charged + copy.size());
  }
  EXPECT_EQ(budget->charged(), 0U);
}

// Guards against heads that take many times their size.
TEST(HeaderFields, TakeLittleMoreThanTheirSizeOnTheWire) {
  http::request_header<> parsed;
  std::size_t size = 0;
  for (int i = 0; i < 3000; ++i) {
    parsed.insert("a", "x");
    size += std::string("a:x\r\n").size();
  }
  const auto budget = std::make_shared<MemoryBudget>(1000);

  const RequestHead head = ToRequestHead(parsed, budget);

  EXPECT_LE(budget->charged(), size * 3 / 2);
}

}  // namespace
}  // namespace lb::sidecar
