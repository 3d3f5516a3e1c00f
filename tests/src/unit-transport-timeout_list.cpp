#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/timeout_list.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace marigoldyard;
using namespace std::chrono_literals;
namespace net = boost::asio;

namespace {

constexpr auto BlockedTime = 400ms;

} // namespace

// Guards against streams that are given up as silent because the process was
// blocked, although their events had arrived.
TEST_CASE("bytes that arrived while the thread was blocked are read before "
          "timeouts fire") {
  net::io_context Context;
  TimeoutList Timeouts(Context);
  Timeouts.start({});
  net::local::stream_protocol::socket Reader(Context);
  net::local::stream_protocol::socket Writer(Context);
  net::local::connect_pair(Reader, Writer);
  bool Expired = false;
  bool Received = false;
  Timeout Silence(Timeouts, [&] { Expired = true; });
  Silence.expiresAt(now() + BlockedTime / 2);
  std::array<char, 8> Bytes{};
  Reader.async_read_some(net::buffer(Bytes),
                         [&](const boost::system::error_code &, std::size_t) {
                           Received = true;
                           Silence.clear();
                         });
  // The first handler lasts until a tick is due, so that the tick is queued
  // behind the second one.
  net::post(Context, [&] {
    std::this_thread::sleep_for(2 * TimeoutList::Tick);
    net::post(Context, [&] {
      net::write(Writer, net::buffer("event", 5));
      std::this_thread::sleep_for(BlockedTime);
    });
  });
  Context.run_for(2 * BlockedTime);
  CHECK(Received);
  CHECK_FALSE(Expired);
}

TEST_CASE("a timeout fires once") {
  net::io_context Context;
  TimeoutList Timeouts(Context);
  int Ticks = 0;
  Timeouts.start([&] { ++Ticks; });
  int Fired = 0;
  Timeout Limit(Timeouts, [&] { ++Fired; });
  Limit.expiresAt(now() + 50ms);
  Context.run_for(300ms);
  CHECK(Fired == 1);
  CHECK(Limit.expired());
  CHECK(Ticks > 1);
}

// Guards against timeouts that never fire in a process that is always late.
TEST_CASE("timeouts fire although every tick is late") {
  net::io_context Context;
  TimeoutList Timeouts(Context);
  bool Expired = false;
  std::function<void()> Block = [&] {
    std::this_thread::sleep_for(2 * TimeoutList::MaxTickDelay);
    if (!Expired)
      net::post(Context, Block);
  };
  Timeouts.start({});
  Timeout Limit(Timeouts, [&] { Expired = true; });
  Limit.expiresAt(now() + 50ms);
  net::post(Context, Block);
  Context.run_for(5s);
  CHECK(Expired);
}
