#include "marigoldyard/protocol/replay_filter.hpp"

#include <algorithm>

namespace marigoldyard {

std::string_view replayVerdictName(ReplayVerdict Value) {
  switch (Value) {
  case ReplayVerdict::Accepted:
    return "accepted";
  case ReplayVerdict::OlderIncarnation:
    return "older_incarnation";
  case ReplayVerdict::RepeatedSequence:
    return "repeated_sequence";
  }
  return "unrecognized";
}

ReplayFilter::ReplayFilter(std::size_t MaxSenders)
    : Capacity(std::max<std::size_t>(1, MaxSenders)) {}

ReplayVerdict ReplayFilter::check(const Header &Head) {
  auto Found = BySender.find(Head.Sender);
  if (Found == BySender.end()) {
    if (Records.size() >= Capacity) {
      BySender.erase(Records.back().Sender);
      Records.pop_back();
    }
    Records.push_front({Head.Sender, Head.SenderIncarnation, Head.Sequence});
    BySender.emplace(Head.Sender, Records.begin());
    return ReplayVerdict::Accepted;
  }
  Record &Known = *Found->second;
  if (Head.SenderIncarnation < Known.Current)
    return ReplayVerdict::OlderIncarnation;
  if (Head.SenderIncarnation == Known.Current &&
      Head.Sequence <= Known.LastSequence)
    return ReplayVerdict::RepeatedSequence;
  Known.Current = Head.SenderIncarnation;
  Known.LastSequence = Head.Sequence;
  Records.splice(Records.begin(), Records, Found->second);
  return ReplayVerdict::Accepted;
}

} // namespace marigoldyard
