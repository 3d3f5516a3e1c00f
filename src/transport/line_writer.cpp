#include "marigoldyard/transport/line_writer.hpp"

#include <cerrno>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace marigoldyard {

namespace {

/// Longest wait at the end of the process for a reader that does not read.
constexpr std::chrono::milliseconds FinalWait{200};

bool writable(int Descriptor, std::chrono::milliseconds Wait) {
  pollfd Question{Descriptor, POLLOUT, 0};
  return ::poll(&Question, 1, static_cast<int>(Wait.count())) > 0;
}

} // namespace

LineWriter::LineWriter(int Target)
    : Descriptor(Target), Lines(Capacity), Writer([this] { run(); }) {}

LineWriter::~LineWriter() { finish(); }

void LineWriter::finish() {
  if (std::exchange(Finished, true))
    return;
  Ending = true;
  Lines.close();
  Writer.join();
}

void LineWriter::write(std::string_view Line) {
  std::string Text(Line);
  Text += '\n';
  if (!Lines.tryPush(std::move(Text)))
    ++Dropped;
}

void LineWriter::run() {
  while (!Ending) {
    std::this_thread::sleep_for(BatchInterval);
    writeBatch();
  }
  writeBatch();
}

void LineWriter::writeBatch() {
  std::string Batch;
  if (const std::uint64_t Now = Dropped; Now != DroppedTold) {
    Batch = fmt::format("{{\"event\":\"log_dropped\",\"lines\":{}}}\n",
                        Now - DroppedTold);
    DroppedTold = Now;
  }
  while (auto Line = Lines.pop(Duration::zero()))
    Batch += *Line;
  std::string_view Rest = Batch;
  while (!Rest.empty()) {
    if (!writable(Descriptor, Ending ? FinalWait : BatchInterval)) {
      if (Ending)
        return;
      continue;
    }
    // A pipe that is writable takes this much without blocking.
    const std::string_view Part = Rest.substr(0, PIPE_BUF);
    const ssize_t Count = ::write(Descriptor, Part.data(), Part.size());
    if (Count > 0)
      Rest.remove_prefix(static_cast<std::size_t>(Count));
    else if (errno != EINTR && errno != EAGAIN)
      return; // there is nowhere left to report this
  }
}

} // namespace marigoldyard
