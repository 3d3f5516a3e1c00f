#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/line_writer.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

struct Pipe {
  Pipe() { REQUIRE(::pipe2(Ends, O_CLOEXEC) == 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  std::string read() const {
    std::string Text(1UL << 20, '\0');
    const ssize_t Count = ::read(Ends[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, Count)));
    return Text;
  }

  int Ends[2] = {-1, -1};
};

} // namespace

TEST_CASE("lines are written in order") {
  Pipe Output;
  {
    LineWriter Writer(Output.Ends[1]);
    Writer.write("one");
    Writer.write("two");
  }
  CHECK(Output.read() == "one\ntwo\n");
}

TEST_CASE("a reader that does not read never blocks a caller") {
  Pipe Output;
  const TimePoint Start = now();
  {
    LineWriter Writer(Output.Ends[1]);
    const std::string Line(100, 'x');
    for (int I = 0; I < 50'000; ++I)
      Writer.write(Line);
    CHECK(Writer.dropped() > 0);
    // Writing 50,000 lines takes milliseconds unless a write waits.
    CHECK(now() - Start < 2s);
  }
  // Nobody reads, and the writer ends nevertheless.
  CHECK(now() - Start < 10s);
}
