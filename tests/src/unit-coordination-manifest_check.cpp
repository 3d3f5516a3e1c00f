#include "marigoldyard/coordination/manifest_check.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t ChunkBytes = 32768;

VersionDescriptor describe(const std::vector<Digest> &Ids) {
  VersionDescriptor Result;
  for (const Digest &Id : Ids)
    Result.Chunks.push_back({Id, ChunkBytes});
  return Result;
}

std::vector<Digest> ids(const VersionDescriptor &Descriptor) {
  std::vector<Digest> Result;
  for (const Chunk &Each : Descriptor.Chunks)
    Result.push_back(Each.Id);
  return Result;
}

} // namespace

TEST_CASE("only repeated bytes of the origin put its manifest in doubt") {
  ManifestCheck Check;
  CHECK_FALSE(recordMismatch(Check, 1, "x"));
  CHECK_FALSE(recordMismatch(Check, 1, "y"));
  CHECK_FALSE(recordMismatch(Check, 2, "y"));
  CHECK(recordMismatch(Check, 1, "y"));
  CHECK(recordMismatch(Check, 1, "y"));
}

// Guards against a manifest with a wrong digest that was never read again, so
// that no server loaded the version.
TEST_CASE("a manifest that is read again replaces digests that bytes refute") {
  ManifestCheck Check;
  VersionDescriptor Current = describe({"a", "wrong", "c"});
  recordMismatch(Check, 1, "b");
  SUBCASE("a correct one") {
    CHECK(adoptReadDigests(Check, Current, describe({"a", "b", "c"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c"});
    CHECK_FALSE(recordMismatch(Check, 1, "b"));
  }
  SUBCASE("one with another wrong digest") {
    CHECK(adoptReadDigests(Check, Current, describe({"a", "b", "other"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c"});
  }
  SUBCASE("one whose digest a peer has told meanwhile") {
    Current = describe({"a", "b", "c"});
    CHECK_FALSE(adoptReadDigests(Check, Current, describe({"a", "b", "c"})));
  }
  SUBCASE("one with the same wrong digest") {
    CHECK_FALSE(
        adoptReadDigests(Check, Current, describe({"a", "wrong", "c"})));
    CHECK(recordMismatch(Check, 1, "b"));
  }
  SUBCASE("one of another length") {
    CHECK_FALSE(adoptReadDigests(Check, Current, describe({"a", "b"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "wrong", "c"});
  }
}

TEST_CASE("a peer corrects digests of chunks that it holds and we do not") {
  VersionDescriptor Current = describe({"a", "wrong", "c", "d"});
  const VersionDescriptor Offered = describe({"x", "b", "y", "z"});
  CHECK_FALSE(adoptHeldDigests(Current, {true, false, false, false}, Offered,
                               {true, false, false, false}));
  CHECK_FALSE(
      adoptHeldDigests(Current, {true, false, false, false}, Offered, {}));
  CHECK_FALSE(adoptHeldDigests(Current, {true, false, false, false},
                               describe({"x", "b"}), {true, true}));
  CHECK(ids(Current) == std::vector<Digest>{"a", "wrong", "c", "d"});
  CHECK(adoptHeldDigests(Current, {true, false, false, true}, Offered,
                         {true, true, false, true}));
  CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c", "d"});
}

TEST_CASE("a manifest is compared while no chunk arrives, ever more rarely") {
  ManifestCheck Check;
  TimePoint Now{100s};
  CHECK_FALSE(isManifestComparisonDue(Check, 5, Now));
  CHECK_FALSE(isManifestComparisonDue(Check, 5, Now + 900ms));
  CHECK_FALSE(isManifestComparisonDue(Check, 6, Now + 1100ms));
  Now += 1100ms;
  std::vector<Duration> Due;
  for (Duration Passed{}; Passed < 30s; Passed += 100ms)
    if (isManifestComparisonDue(Check, 6, Now + Passed))
      Due.push_back(Passed);
  CHECK(Due == std::vector<Duration>{1s, 3s, 7s, 15s, 23s});
}

// Guards against a manifest that was used as soon as it parsed: no chunk that
// is held proves the number of digests.
TEST_CASE("a manifest is used after two readings in succession agree") {
  ManifestCheck Check;
  const VersionDescriptor Right = describe({"a", "b", "c"});
  const VersionDescriptor Short = describe({"a", "c"});
  VersionDescriptor Large = Right;
  Large.Chunks.front().Size = 10 * ChunkBytes;
  CHECK_FALSE(recordReading(Check, Short));
  CHECK_FALSE(recordReading(Check, Right));
  CHECK_FALSE(recordReading(Check, Large));
  CHECK_FALSE(recordReading(Check, Right));
  CHECK(recordReading(Check, Right));
  CHECK(Check.Reads == 5);
}

TEST_CASE("only the number of digests and the size differ as a whole") {
  const VersionDescriptor Right = describe({"a", "b", "c"});
  CHECK_FALSE(differsAsWhole(Right, Right));
  CHECK_FALSE(differsAsWhole(Right, describe({"a", "x", "c"})));
  CHECK(differsAsWhole(Right, describe({"a", "c"})));
  CHECK(differsAsWhole(Right, describe({"a", "b", "b", "c"})));
  VersionDescriptor Large = Right;
  for (Chunk &Each : Large.Chunks)
    Each.Size *= 10;
  CHECK(differsAsWhole(Right, Large));
}

// Guards against a stager that keeps a manifest with a wrong number of digests
// when the origin is gone, and against one that takes such a manifest over.
TEST_CASE("a peer that holds every chunk proves another number of digests") {
  const VersionDescriptor Right = describe({"a", "b", "c"});
  const VersionDescriptor Short = describe({"a", "c"});
  CHECK(isProvenByPeer(Short, Right, {true, true, true}));
  CHECK_FALSE(isProvenByPeer(Short, Right, {true, false, true}));
  CHECK_FALSE(isProvenByPeer(Short, Right, {true, true}));
  CHECK_FALSE(isProvenByPeer(Short, Right, {}));
  CHECK_FALSE(
      isProvenByPeer(Right, describe({"a", "x", "c"}), {true, true, true}));
}

TEST_CASE("a verified chunk proves the size of all but the last one") {
  VersionDescriptor Current = describe({"a", "b", "c"});
  CHECK_FALSE(adoptVerifiedSize(Current, 0, ChunkBytes));
  CHECK_FALSE(adoptVerifiedSize(Current, 2, 100));
  CHECK_FALSE(adoptVerifiedSize(Current, 3, 100));
  CHECK(Current == describe({"a", "b", "c"}));
  CHECK(adoptVerifiedSize(Current, 1, 100));
  for (const Chunk &Each : Current.Chunks)
    CHECK(Each.Size == 100);
}
