#include "cassiashed/catalog/table_copy.h"

namespace cassiashed::catalog {

TableUpdate TableCopy::merge(RowBatch Batch) {
  const std::uint64_t Before = Replica_.era();
  if (Batch.Era < Before || (Batch.Era > Before && !Batch.Whole))
    return {RowsTaken::OtherEra, {}};
  const bool BeginsEra = Batch.Era > Before;
  const bool HadRead = HasRead_;
  TableUpdate Update;
  Update.Changes = Replica_.mergeFromPeer(std::move(Batch));
  HasRead_ = HasRead_ || Replica_.size() > 0;
  if (!BeginsEra)
    return Update;
  Freshness_.beginEra();
  LastStoreTime_.reset();
  if (HadRead)
    Update.Taken = RowsTaken::EraBegun;
  return Update;
}

TableUpdate TableCopy::mergeFromPeer(RowBatch Batch) {
  return merge(std::move(Batch));
}

TableUpdate TableCopy::mergeFromStore(RowBatch Answer, BootTime SentAt,
                                      BootTime ReceivedAt,
                                      std::optional<Duration> StoreTime) {
  noteEra(Answer.Era, ReceivedAt);
  // A long poll may have been sent in an earlier era, whose versions were
  // higher: then changes before its start are missing.
  const bool IsContiguous =
      Answer.Whole || Answer.After <= Replica_.completeVersion();
  const bool IsWhole = Answer.Whole;
  TableUpdate Update = merge(std::move(Answer));
  if (Update.Taken == RowsTaken::OtherEra)
    return Update;
  // The store itself contradicts the noted era: one answer was damaged.
  if (IsWhole && SentAt > NotedAt_)
    NotedEra_ = Replica_.era();
  if (!IsContiguous || needsWholeRead())
    return Update;
  Freshness_.recordStoreAnswer(SentAt, ReceivedAt, StoreTime);
  LastStoreTime_ = StoreTime;
  return Update;
}

PeerProof TableCopy::recordPeerCoverage(const RowCoverage &Other,
                                        Duration StoreTime, BootTime Now) {
  noteEra(Other.Era, Now);
  if (Other.Era != Replica_.era() || needsWholeRead() ||
      !Freshness_.wouldImprove(StoreTime, Now))
    return PeerProof::None;
  if (!Replica_.recordPeerCoverage(Other))
    return PeerProof::LacksRows;
  Freshness_.recordPeerSnapshot(StoreTime, Now);
  return PeerProof::Fresher;
}

void TableCopy::noteEra(std::uint64_t Era, BootTime Now) {
  if (Era <= NotedEra_ || Era <= Replica_.era())
    return;
  NotedEra_ = Era;
  NotedAt_ = Now;
}

} // namespace cassiashed::catalog
