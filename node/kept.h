// What survives an upgrade: the operators' words, which are for the sidecar and not for one process of it.
// Each is an empty file in a folder under $TMPDIR, which the processes of an upgrade share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>

#include "log.h"

namespace mothrack {

struct Words {
  std::set<std::string> out;  // upstreams that are taken out
  bool drained = false;       // clients are sent away
  bool operator==(const Words&) const = default;
};

class Kept {
 public:
  using OnChange = std::function<void(const Words&)>;

  // `folder`: where to keep them; empty where nothing can be kept. `on_change` hears of each change, whoever
  // made it, at once or from the next look on.
  Kept(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change);

  const Words& words() const { return words_; }
  void TakeOut(const std::string& upstream, bool out);
  void Drain(bool drained);

 private:
  void Mark(const std::string& name, bool set);
  void Look();
  void LookIn();
  // Goes on without the folder: what it holds is no longer what counts here.
  void GiveUp(const std::string& why);

  std::string folder_;
  Logger& log_;
  const OnChange on_change_;
  boost::asio::steady_timer timer_;
  Words words_;
  std::set<std::string> foreign_;  // names that were logged
};

}  // namespace mothrack
