#pragma once

namespace cassiashed::balancing {

/// Band of lengths that a prompt is counted with: each band ends at about 1.4
/// times its start. All prompts under a thousand tokens share band 0.
int lengthBucketOf(double PromptTokens);

/// The shortest prompt of a band, in tokens.
double lengthBucketStart(int Band);

} // namespace cassiashed::balancing
