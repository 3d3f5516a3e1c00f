#include "marigoldyard/coordination/partial_load.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;

std::vector<bool> heldExcept(std::size_t Chunks,
                             const std::vector<std::size_t> &Missing) {
  std::vector<bool> Held(Chunks, true);
  for (const std::size_t Each : Missing)
    Held[Each] = false;
  return Held;
}

VersionBoundSettings bound(Duration Limit) {
  VersionBoundSettings Settings;
  Settings.Limit = Limit;
  return Settings;
}

} // namespace

// Guards against layers that are loaded while a chunk of theirs is missing.
TEST_CASE("a chunk across two layers belongs to both") {
  CHECK(chunksOfLayers({0, 4}, 4, 16) == ChunkRange{0, 16});
  CHECK(chunksOfLayers({1, 2}, 4, 16) == ChunkRange{4, 8});
  CHECK(chunksOfLayers({0, 1}, 4, 6) == ChunkRange{0, 2});
  CHECK(chunksOfLayers({1, 2}, 4, 6) == ChunkRange{1, 3});
  CHECK(chunksOfLayers({3, 4}, 4, 6) == ChunkRange{4, 6});
  CHECK(chunksOfLayers({2, 3}, 4, 2) == ChunkRange{1, 2});
}

TEST_CASE("the first layer that is held as a whole is chosen") {
  CHECK(firstHeldLayer(heldExcept(16, {}), 4) == LayerRange{0, 1});
  CHECK(firstHeldLayer(heldExcept(16, {3, 4}), 4) == LayerRange{2, 3});
  CHECK(firstHeldLayer(heldExcept(16, {0, 5, 10}), 4) == LayerRange{3, 4});
  CHECK_FALSE(firstHeldLayer(heldExcept(16, {0, 5, 10, 15}), 4));
  CHECK_FALSE(firstHeldLayer(heldExcept(16, {}), 0));
  CHECK_FALSE(firstHeldLayer({}, 4));
}

// Guards against a server with some layers of a version that is taken for one
// that serves it.
TEST_CASE("some layers are no whole model") {
  CHECK(isWholeModel(LayerRange{0, 4}, 4));
  CHECK_FALSE(isWholeModel(LayerRange{0, 3}, 4));
  CHECK_FALSE(isWholeModel(LayerRange{1, 4}, 4));
  CHECK(isWholeModel(std::nullopt, 4));
  CHECK(isWholeModel(LayerRange{0, 3}, 0));
}

TEST_CASE("a server is closed by the first bound of all newer versions") {
  DeclarationHistory History;
  recordDeclaration(History, {"m", 2}, Start);
  recordDeclaration(History, {"m", 3}, Start + 2s);
  recordDeclaration(History, {"other", 9}, Start - 1h);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 7500ms);
  CHECK(closingTime(bound(8s), History, "m", 2) == Start + 9500ms);
  CHECK_FALSE(closingTime(bound(8s), History, "m", 3));
}

// Guards against a bound that counts from when the stager learned of the
// declaration, or from a report that is younger than that.
TEST_CASE("the latest lower bound of the acknowledgement counts") {
  DeclarationHistory History;
  recordDeclaration(History, {"m", 2}, Start);
  recordAcknowledgedAfter(History, {"m", 2}, Start - 3s, Start);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 4500ms);
  recordAcknowledgedAfter(History, {"m", 2}, Start - 1s, Start);
  recordAcknowledgedAfter(History, {"m", 2}, Start - 2s, Start);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 6500ms);
  recordAcknowledgedAfter(History, {"m", 2}, Start + 5s, Start);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 7500ms);
  recordAcknowledgedAfter(History, {"m", 7}, Start, Start);
  CHECK(History.size() == 1);
}

TEST_CASE("a declaration that is learned again keeps its time") {
  DeclarationHistory History;
  recordDeclaration(History, {"m", 2}, Start);
  recordDeclaration(History, {"m", 2}, Start + 5s);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 7500ms);
  for (std::uint64_t Version = 3; Version < 300; ++Version)
    recordDeclaration(History, {"m", Version},
                      Start + std::chrono::seconds(Version));
  CHECK(History.size() == 64);
  CHECK_FALSE(History.contains({"m", 2}));
}

// Guards against a server that is closed only by the bound of the newest
// version, because the stager never saw the declaration before it.
TEST_CASE("a declaration that a newer one hid counts by its report") {
  DeclarationHistory History;
  recordDeclaration(History, {"m", 3}, Start);
  recordAcknowledgedAfter(History, {"m", 2}, Start - 3s, Start);
  CHECK(closingTime(bound(8s), History, "m", 1) == Start + 4500ms);
  CHECK(closingTime(bound(8s), History, "m", 2) == Start + 7500ms);
}
