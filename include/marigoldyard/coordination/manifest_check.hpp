#pragma once

#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <cstdint>
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
/// send a manifest that parses although a digest, the number of digests or the
/// size of the chunks is wrong, and the version would never be complete. Bytes
/// that match a digest prove it and the size, so digests of chunks that are
/// held are not replaced one by one. Nothing that is held proves the number of
/// digests; only another reading does, which replaces the manifest as a whole.
struct ManifestCheck {
  ManifestCheckSettings Settings;
  /// By position of the chunk: digest of the last bytes from the origin that
  /// did not match the manifest.
  std::map<std::size_t, Digest> Mismatches;
  VersionDescriptor LastRead; ///< last manifest that the origin returned
  std::size_t Reads = 0;      ///< manifests that the origin returned
  /// The manifest in use is to be read again until two readings agree.
  bool Doubted = false;
  VersionDescriptor Offered; ///< last manifest of a peer that differs
  std::string OfferedBy;     ///< that peer
  std::size_t Held = 0;      ///< chunks held at the last progress
  TimePoint NextCompareAt = TimePoint::max();
  Duration CompareDelay{};
};

/// @brief Records a manifest that the origin returned. A manifest is used only
/// after two readings in succession agree, since a transmission error does not
/// repeat.
/// @param Check the evidence
/// @param Read manifest that the origin returned
/// @return whether the previous reading was the same
/// @complexity linear in the chunks
bool recordReading(ManifestCheck &Check, const VersionDescriptor &Read);

/// @brief Returns whether two manifests differ in what cannot be corrected
/// chunk by chunk: the number of digests or the size of the chunks.
/// @param Current one manifest
/// @param Other the other one
/// @complexity constant
bool differsAsWhole(const VersionDescriptor &Current,
                    const VersionDescriptor &Other);

/// @brief Returns whether a manifest of a peer replaces one with another number
/// of digests while the version is incomplete: the peer holds all its chunks.
/// @param Current manifest in use
/// @param Offered manifest of the peer
/// @param PeerHeld one bit per chunk of Offered
/// @complexity linear in the chunks
bool isProvenByPeer(const VersionDescriptor &Current,
                    const VersionDescriptor &Offered,
                    const std::vector<bool> &PeerHeld);

/// @brief Corrects the size of the chunks by that of a verified one. The last
/// chunk may be shorter, so it proves no size.
/// @param Current manifest to correct
/// @param Index position of the verified chunk
/// @param Bytes its size
/// @return whether the size was corrected
/// @complexity linear in the chunks
bool adoptVerifiedSize(VersionDescriptor &Current, std::size_t Index,
                       std::uint64_t Bytes);

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
