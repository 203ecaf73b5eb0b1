// A body on its way from one connection to another, of which only a piece is held.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace mothrack {

// One side puts pieces in while there is room, the other takes them out. Each hears of the other by its hook,
// from the event loop and never from within a call, and takes its hook away before it goes.
class BodyPipe : public std::enable_shared_from_this<BodyPipe> {
 public:
  using Hook = std::function<void()>;

  // `length`: of the whole body, where it is known.
  BodyPipe(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length)
      : io_(io), capacity_(capacity), length_(length) {}

  boost::optional<std::uint64_t> length() const { return length_; }

  // ---- Of the side that puts ----

  Hook on_room;  // there is room again, or the other side has left
  bool HasRoom() const { return held_.size() < capacity_; }
  void Put(const char* bytes, std::size_t size) {
    held_.append(bytes, size);
    Tell(&BodyPipe::on_data);
  }
  void Finish() {
    finished_ = true;
    Tell(&BodyPipe::on_data);
    Tell(&BodyPipe::on_end);
  }
  // It will never be whole.
  void Break() {
    broken_ = !finished_;
    Tell(&BodyPipe::on_data);
    Tell(&BodyPipe::on_end);
  }
  bool left() const { return left_; }

  // ---- Of the side that takes ----

  Hook on_end;   // for whoever counts the time: no more will come
  Hook on_data;  // there is more, or the end of it
  std::string Take() {
    touched_ = touched_ || !held_.empty();
    Tell(&BodyPipe::on_room);
    return std::exchange(held_, {});
  }
  bool ended() const { return finished_ && held_.empty(); }
  bool broken() const { return broken_; }
  bool finished() const { return finished_; }
  // Something was taken: the whole of it can't be had again.
  bool touched() const { return touched_; }
  void Leave() {
    left_ = true;
    Tell(&BodyPipe::on_room);
  }

 private:
  void Tell(Hook BodyPipe::*hook) {
    if (!((*this).*hook)) return;
    boost::asio::post(io_, [self = shared_from_this(), hook] {
      // The one who hears may take the hook away while it runs.
      if (const Hook told = (*self).*hook) told();
    });
  }

  boost::asio::io_context& io_;
  const std::size_t capacity_;
  const boost::optional<std::uint64_t> length_;
  std::string held_;
  bool finished_ = false;
  bool broken_ = false;
  bool left_ = false;
  bool touched_ = false;
};

using Body = std::shared_ptr<BodyPipe>;

}  // namespace mothrack
