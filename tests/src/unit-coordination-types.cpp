#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/invariant.hpp"
#include "marigoldyard/state/types.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace marigoldyard;

TEST_CASE("step names are unique, so that logs name one step") {
  std::set<std::string_view> Names;
  for (Step Value : AllSteps)
    CHECK(Names.insert(stepName(Value)).second);
}

TEST_CASE("rank names parse back to the same rank") {
  for (Rank Value : AllRanks)
    CHECK(parseRank(rankName(Value)) == Value);
  CHECK_FALSE(parseRank("highest"));
}

TEST_CASE("an error's message carries its id, step and peer") {
  Error Failure{ErrorCode::ChunkCorrupt, Step::ChunkVerify, "agent-3",
                "size 12"};
  CHECK(Failure.message() == "[601] chunk does not match its digest at step "
                             "chunk_verify, peer agent-3: size 12");
}

TEST_CASE("fences order by revision, then incarnation, then sequence") {
  CHECK(Fence{1, 9, 9} < Fence{2, 1, 1});
  CHECK(Fence{2, 1, 9} < Fence{2, 2, 1});
  CHECK(Fence{2, 2, 1} < Fence{2, 2, 2});
}
