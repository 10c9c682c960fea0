#pragma once

#include "cassiashed/membership/messages.h"
#include "cassiashed/wire/body.h"

/// Bodies of gossip, promise and release messages.
CASSIASHED_MSGPACK_ENUM(cassiashed::MemberState, cassiashed::MemberState::Dead)
CASSIASHED_MSGPACK_STRUCT(cassiashed::MemberRecord, Value.Name, Value.Address,
                          Value.Zone, Value.Incarnation, Value.Version,
                          Value.State)
CASSIASHED_MSGPACK_STRUCT(cassiashed::ZoneOrder, Value.Zone, Value.Out,
                          Value.Number, Value.Id, Value.HeldBy,
                          Value.CommittedVersion)
CASSIASHED_MSGPACK_STRUCT(cassiashed::GossipMessage, Value.Sender,
                          Value.WantsMembers, Value.ConfigVersion,
                          Value.MemberDigest, Value.Stamp, Value.EchoStamp,
                          Value.EchoHoldMs, Value.EchoIncarnation,
                          Value.WitnessListHash, Value.WitnessAges,
                          Value.Members, Value.Orders)
CASSIASHED_MSGPACK_STRUCT(cassiashed::PromiseRequest::Item, Value.Endpoint,
                          Value.Epoch, Value.Disarm)
CASSIASHED_MSGPACK_STRUCT(cassiashed::PromiseRequest, Value.Owner,
                          Value.OwnerIncarnation, Value.StandbyIncarnation,
                          Value.Number, Value.LeaseLeftMs, Value.Items)
CASSIASHED_MSGPACK_STRUCT(cassiashed::PromiseReply, Value.Endpoints)
CASSIASHED_MSGPACK_STRUCT(cassiashed::ReleaseRequest::Item, Value.Endpoint,
                          Value.Epoch)
CASSIASHED_MSGPACK_STRUCT(cassiashed::ReleaseRequest, Value.Items)
CASSIASHED_MSGPACK_STRUCT(cassiashed::ReleaseReply, Value.Incarnation,
                          Value.Released)
