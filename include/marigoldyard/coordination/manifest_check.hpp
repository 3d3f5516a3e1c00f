#pragma once

#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Intervals of the checks of a manifest that may hold wrong digests.
struct ManifestCheckSettings {
  /// Time without a new chunk after which the manifest is compared with that of
  /// a peer; exceeds the timeout of a request to a peer. Doubles up to
  /// MaxCompareInterval while no chunk arrives.
  Duration CompareInterval = std::chrono::seconds(1);
  Duration MaxCompareInterval = std::chrono::seconds(8);
};

/// @brief Evidence about the manifest of one version. The origin and peers may
/// send a manifest in which a digest is wrong. It parses, but the chunk can
/// never be verified, so the version would never be complete. Only digests of
/// chunks that are not held are ever replaced: bytes that match a digest prove
/// it.
struct ManifestCheck {
  ManifestCheckSettings Settings;
  /// By position of the chunk: digest of the last bytes from the origin that
  /// did not match the manifest.
  std::map<std::size_t, Digest> Mismatches;
  VersionDescriptor Offered; ///< last manifest of a peer that differs
  std::string OfferedBy;     ///< that peer
  std::size_t Held = 0;      ///< chunks held at the last progress
  TimePoint NextCompareAt = TimePoint::max();
  Duration CompareDelay{};
};

/// @brief Records bytes from the origin that do not match the manifest.
/// @param Check the evidence
/// @param Index position of the chunk in the manifest
/// @param Received digest of the bytes
/// @return true if the origin has sent the same bytes before, so that the
/// manifest is in doubt and must be read again. A transmission error does not
/// repeat.
/// @complexity logarithmic in the chunks with a mismatch
bool recordMismatch(ManifestCheck &Check, std::size_t Index,
                    const Digest &Received);

/// @brief Replaces the digests that match the bytes that the origin sent in
/// place of those expected.
/// @param Check the evidence; that for the replaced digests is dropped
/// @param Current manifest to correct. Its own digest is not updated.
/// @param Read manifest that the origin returned when it was read again
/// @return whether a digest was replaced
/// @complexity linear in the chunks with a mismatch
bool adoptReadDigests(ManifestCheck &Check, VersionDescriptor &Current,
                      const VersionDescriptor &Read);

/// @brief Replaces the digests of chunks that are not held by those for which a
/// peer holds verified bytes.
/// @param Current manifest to correct. Its own digest is not updated.
/// @param Held one bit per chunk of Current
/// @param Offered manifest of the peer
/// @param PeerHeld one bit per chunk of Offered
/// @return whether a digest was replaced; false if the numbers of chunks differ
/// @complexity linear in the chunks
bool adoptHeldDigests(VersionDescriptor &Current, const std::vector<bool> &Held,
                      const VersionDescriptor &Offered,
                      const std::vector<bool> &PeerHeld);

/// @brief Decides whether to compare the manifest of an incomplete version with
/// that of a peer, and records the comparison as begun.
/// @param Check the evidence
/// @param Held chunks that are held now
/// @param Now the time
/// @return true if no chunk has arrived for the interval
bool isManifestComparisonDue(ManifestCheck &Check, std::size_t Held,
                             TimePoint Now);

} // namespace marigoldyard
