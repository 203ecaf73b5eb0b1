// An upgrade while discovery is down (review/8): the new process must not send to an upstream that the old
// one knew to drain or to be gone.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <utility>

#include "gtest/gtest.h"
#include "sidecar/descriptor_passing.h"
#include "sidecar/held_endpoint_list.h"
#include "sidecar/list_messages.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

namespace fs = std::filesystem;
using Local = boost::asio::local::stream_protocol;

constexpr int kRequests = 30;

struct OutageForm {
  std::string name;
  bool is_polled = false;
  bool is_gone = false;  // the upstream has left the list; else it drains
  int upgrades = 1;
};

void PrintTo(const OutageForm& form, std::ostream* out) { *out << form.name; }

// A sidecar that calls `discovery`, with u1 and u2 in its configuration's list.
class InheritedListTest : public ::testing::Test {
 protected:
  SidecarProcess::Options MakeOptions(const std::string& discovery, bool is_polled = false) {
    SidecarProcess::Options options =
        WithAdmin(List({Target("u1", a_.address()), Target("u2", b_.address())}), folder_.path());
    if (is_polled) options.settings["MembershipMode"] = "on_request";
    options.discovery = discovery;
    return options;
  }
  static std::unique_ptr<SidecarProcess> Start(const SidecarProcess::Options& options) {
    auto sidecar = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar->Listening());
    return sidecar;
  }
  static bool BecomesReady(SidecarProcess& sidecar) {
    return Eventually([&] { return sidecar.Status("GET", "/ready") == 200; });
  }
  static bool EventuallyLogs(SidecarProcess& sidecar, const std::string& text) {
    return Eventually([&] { return sidecar.log().find(text) != std::string::npos; });
  }
  // Replaces `sidecar` by a next process, as the platform does.
  static void Upgrade(std::unique_ptr<SidecarProcess>& sidecar, SidecarProcess::Options options) {
    options.listen = "127.0.0.1:" + std::to_string(sidecar->port());
    auto next = Start(options);
    ASSERT_TRUE(BecomesReady(*next));
    sidecar->Signal(SIGTERM);
    EXPECT_EQ(sidecar->Wait(), 0);
    sidecar = std::move(next);
  }

  Folder folder_;
  Upstream a_{Upstream::Echo("u1")};
  Upstream b_{Upstream::Echo("u2")};
  Upstream c_{Upstream::Echo("u3")};
};

class UpgradeInAnOutage : public InheritedListTest, public ::testing::WithParamInterface<OutageForm> {};

TEST_P(UpgradeInAnOutage, SendsNothingToAnUpstreamThatTheOldProcessKnewToDrain) {
  const OutageForm& form = GetParam();
  Discovery discovery(List({Target("u1", a_.address()), Target("u2", b_.address())}));
  const auto options = MakeOptions(discovery.address(), form.is_polled);
  auto sidecar = Start(options);
  ASSERT_TRUE(BecomesReady(*sidecar));
  json list = List({Target("u2", b_.address()), Target("u3", c_.address())});
  if (!form.is_gone) list.push_back(Target("u1", a_.address(), "leaving"));
  discovery.Publish(list);
  ASSERT_TRUE(BecomesServedBy(*sidecar, "u3 /page/k"));
  discovery.Set(Discovery::ResponseMode::kSilent);

  for (int i = 0; i < form.upgrades; ++i) Upgrade(sidecar, options);
  const auto [served_by_drained, served_by_others] = RequestsServedBy(*sidecar, "after", kRequests);

  EXPECT_EQ(served_by_drained, 0) << sidecar->log();
  EXPECT_EQ(served_by_others, kRequests) << sidecar->log();
}

INSTANTIATE_TEST_SUITE_P(
    Forms, UpgradeInAnOutage,
    ::testing::Values(OutageForm{.name = "Pushed"}, OutageForm{.name = "PushedGone", .is_gone = true},
                      OutageForm{.name = "Polled", .is_polled = true},
                      OutageForm{.name = "PolledGone", .is_polled = true, .is_gone = true},
                      OutageForm{.name = "TwoInARow", .upgrades = 2}),
    [](const auto& form) { return form.param.name; });

TEST_F(InheritedListTest, ListOfManyUpstreamsIsPassedOn) {
  constexpr int kUpstreams = 4096;
  json targets = List({Target("u1", a_.address())});
  for (int i = 0; i < kUpstreams - 1; ++i) {
    targets.push_back(Target(std::string(200, 'x') + std::to_string(i), b_.address(), "leaving"));
  }
  Discovery discovery(targets);
  SidecarProcess::Options options = MakeOptions(discovery.address());
  options.known = nullptr;
  auto sidecar = Start(options);
  ASSERT_TRUE(BecomesReady(*sidecar));
  discovery.Set(Discovery::ResponseMode::kSilent);

  Upgrade(sidecar, options);

  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_list_inherited revision=1 upstreams=4096"));
  EXPECT_EQ(RequestsServedBy(*sidecar, "after", kRequests).first, kRequests);
}

// Answers each call at once with the same list, or none while it is silent.
class FixedDiscovery {
 public:
  explicit FixedDiscovery(const json& list) : body_(list.dump()) {}
  std::string address() const { return server_.address(); }
  void Set(const json& list) { SetBody(list.dump()); }
  void SetSilent() { SetBody(""); }

 private:
  void SetBody(const std::string& body) {
    const std::lock_guard lock(mutex_);
    body_ = body;
  }
  std::string Body() {
    const std::lock_guard lock(mutex_);
    return body_;
  }

  std::mutex mutex_;
  std::string body_;
  Upstream server_{[this](Wire& wire, const Request&, int) {
    const std::string body = Body();
    if (body.empty()) {
      wire.ReadUntilClosed();
    } else {
      wire.Answer(200, body);
    }
  }};
};

json ListAt(int revision, bool is_whole, const json& targets) {
  return {{"rev", revision}, {"all", is_whole}, {"targets", targets}};
}

// Discovery may start anew meanwhile, and then counts its revisions from the start.
TEST_F(InheritedListTest, DiscoverysListGoesBeforeTheInheritedOneAlsoAtALowerRevision) {
  FixedDiscovery discovery(ListAt(41, true, List({Target("u2", b_.address())})));
  const auto options = MakeOptions(discovery.address());
  auto sidecar = Start(options);
  ASSERT_TRUE(BecomesReady(*sidecar));
  ASSERT_EQ(RequestsServedBy(*sidecar, "before", kRequests).first, 0);
  discovery.SetSilent();
  Upgrade(sidecar, options);
  ASSERT_EQ(RequestsServedBy(*sidecar, "outage", kRequests).first, 0);

  discovery.Set(ListAt(3, true, List({Target("u1", a_.address())})));

  EXPECT_TRUE(FirstUpstreamServesAgain(*sidecar));
}

// A polled service tells only what has changed since the configuration's list.
TEST_F(InheritedListTest, ChangesToTheConfigurationsListArePassedOnWithTheRestOfIt) {
  FixedDiscovery discovery(ListAt(7, false, List({Target("u1", a_.address(), "leaving")})));
  const auto options = MakeOptions(discovery.address(), true);
  auto sidecar = Start(options);
  ASSERT_TRUE(BecomesReady(*sidecar));
  ASSERT_EQ(RequestsServedBy(*sidecar, "before", kRequests).first, 0);
  discovery.SetSilent();

  Upgrade(sidecar, options);

  EXPECT_EQ(RequestsServedBy(*sidecar, "after", kRequests), std::make_pair(0, kRequests)) << sidecar->log();
}

// A previous process that passes its listener, then so many bytes of its list, and ends.
class PreviousProcess {
 public:
  explicit PreviousProcess(const std::string& folder) : acceptor_(io_), listener_(io_) {
    fs::create_directories(folder);
    acceptor_.open();
    acceptor_.bind(folder + "/handover");
    acceptor_.listen();
    listener_.open(boost::asio::ip::tcp::v4());
    listener_.bind({boost::asio::ip::address_v4::loopback(), 0});
    listener_.listen();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.local_endpoint().port()); }
  void Serve(const std::string& bytes) {
    Local::socket next(io_);
    acceptor_.accept(next);
    ASSERT_TRUE(SendDescriptor(next.native_handle(), listener_.native_handle()));
    boost::asio::write(next, boost::asio::buffer(bytes));
  }

 private:
  boost::asio::io_context io_;
  Local::acceptor acceptor_;
  boost::asio::ip::tcp::acceptor listener_;
};

class InheritedListInPart : public InheritedListTest, public ::testing::WithParamInterface<double> {
 protected:
  // Messages of a list in which u1 drains.
  std::string Messages() {
    const UnixClock clock;
    const json targets = List({Target("u1", a_.address(), "leaving"), Target("u2", b_.address())});
    HeldEndpointList list;
    list.Apply(ParseEndpointList(json{{"rev", 41}, {"all", true}, {"targets", targets}}, clock));
    return ToListMessages(list);
  }
};

TEST_P(InheritedListInPart, CountsOnlyIfItIsWhole) {
  const std::string messages = Messages();
  const auto size = static_cast<std::size_t>(GetParam() * static_cast<double>(messages.size()));
  PreviousProcess previous(StateFolder(folder_));
  SidecarProcess::Options options = MakeOptions("127.0.0.1:1");  // nobody answers there
  options.listen = previous.address();
  SidecarProcess sidecar(options);
  previous.Serve(messages.substr(0, size));
  ASSERT_TRUE(sidecar.Listening());

  ASSERT_TRUE(BecomesReady(sidecar));
  const auto [served_by_drained, served_by_others] = RequestsServedBy(sidecar, "after", kRequests);

  const bool is_whole = size == messages.size();
  EXPECT_EQ(served_by_drained == 0, is_whole) << sidecar.log();
  EXPECT_EQ(served_by_drained + served_by_others, kRequests) << sidecar.log();
}

INSTANTIATE_TEST_SUITE_P(Shares, InheritedListInPart, ::testing::Values(0, 0.01, 0.3, 0.6, 0.99, 1));

}  // namespace
}  // namespace lb::sidecar::testing
