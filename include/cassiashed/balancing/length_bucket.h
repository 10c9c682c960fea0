#pragma once

namespace cassiashed::balancing {

/// Length bucket of a prompt. Each bucket ends at about 1.4 times its start;
/// all prompts of up to a thousand tokens are in bucket 0.
int lengthBucketOf(double PromptTokens);

/// The shortest prompt of a bucket, in tokens.
double lengthBucketStart(int Bucket);

} // namespace cassiashed::balancing
