#include "marigoldyard/coordination/partial_load.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Number of declarations that are kept.
constexpr std::size_t MaxDeclarations = 64;

} // namespace

ChunkRange chunksOfLayers(const LayerRange &Range, std::uint32_t Layers,
                          std::size_t Chunks) {
  return {Range.From * Chunks / Layers,
          (Range.End * Chunks + Layers - 1) / Layers};
}

bool isWholeModel(const std::optional<LayerRange> &Reported,
                  std::uint32_t Layers) {
  return !Reported || Layers == 0 ||
         (Reported->From == 0 && Reported->End >= Layers);
}

std::optional<LayerRange> firstHeldLayer(const std::vector<bool> &Held,
                                         std::uint32_t Layers) {
  for (std::uint32_t Layer = 0; Layer < Layers; ++Layer) {
    const ChunkRange Needed =
        chunksOfLayers({Layer, Layer + 1}, Layers, Held.size());
    const auto First = Held.begin() + static_cast<std::ptrdiff_t>(Needed.First);
    const auto End = Held.begin() + static_cast<std::ptrdiff_t>(Needed.End);
    if (First != End && std::find(First, End, false) == End)
      return LayerRange{Layer, Layer + 1};
  }
  return std::nullopt;
}

void recordDeclaration(DeclarationHistory &History,
                       const DeclaredVersion &Version, TimePoint Now) {
  History.try_emplace(Version, DeclarationEvidence{Now, {}, {}, {}});
  if (History.size() > MaxDeclarations)
    History.erase(std::min_element(
        History.begin(), History.end(), [](const auto &A, const auto &B) {
          return A.second.LearnedAt < B.second.LearnedAt;
        }));
}

void recordAcknowledgedAfter(DeclarationHistory &History,
                             const DeclaredVersion &Version, TimePoint Bound,
                             TimePoint Now) {
  // A newer declaration hides older ones from a process that has just started,
  // or that had no contact.
  const auto Newer = History.upper_bound(Version);
  if (Newer != History.end() && Newer->first.Model == Version.Model)
    recordDeclaration(History, Version, Now);
  const auto Known = History.find(Version);
  if (Known != History.end())
    Known->second.ReportedAt =
        std::max(Known->second.ReportedAt, std::optional<TimePoint>(Bound));
}

std::optional<TimePoint> closingTime(const VersionBoundSettings &Settings,
                                     const DeclarationHistory &History,
                                     std::string_view Model,
                                     std::uint64_t Version) {
  std::optional<TimePoint> Earliest;
  for (const auto &[Declared, Known] : History) {
    if (Declared.Model != Model || Declared.Version <= Version)
      continue;
    DeclarationEvidence Evidence = Known;
    if (!Evidence.ReportedAt)
      Evidence.ReportedAt = Evidence.LearnedAt;
    const TimePoint ClosesAt = versionDeadlines(Settings, Evidence).RequiredAt;
    Earliest = std::min(Earliest.value_or(ClosesAt), ClosesAt);
  }
  return Earliest;
}

} // namespace marigoldyard
