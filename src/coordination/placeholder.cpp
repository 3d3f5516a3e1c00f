namespace marigoldyard {} // namespace marigoldyard
