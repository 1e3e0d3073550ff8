@0xb6c1f0d3a7e94c25;

# Field and union numbers are never reused or renumbered, so that processes of
# two adjacent releases understand each other during a rolling restart.

struct Hello {
  version @0 :UInt64;
  node @1 :Text;
  role @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
}

struct HelloProof {
}

struct Ack {
}

struct Error {
  code @0 :Text;
  message @1 :Text;
  step @2 :Text;
  leader @3 :Text;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Int64;
  data @3 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
  transfer @5 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  voter @1 :Text;
  granted @2 :Bool;
  preVote @3 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  entries @4 :List(Entry);
  commit @5 :UInt64;
  round @6 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  follower @1 :Text;
  success @2 :Bool;
  matchIndex @3 :UInt64;
  round @4 :UInt64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  total @5 :UInt64;
  data @6 :Data;
}

struct SnapshotReply {
  term @0 :UInt64;
  follower @1 :Text;
  lastIndex @2 :UInt64;
  offset @3 :UInt64;
}

struct Propose {
  command @0 :Data;
}

struct Proposed {
  index @0 :UInt64;
  result @1 :Data;
}

struct Watch {
  subscriber @0 :Text;
  role @1 :Text;
  version @2 :UInt64;
  readsPackedParts @3 :Bool;
}

struct ConfigSnapshot {
  version @0 :UInt64;
  index @1 :UInt64;
  part @2 :Int64;
  parts @3 :Int64;
  objects @4 :List(Data);
  packed @5 :Data;
}

struct ConfigDelta {
  base @0 :UInt64;
  version @1 :UInt64;
  index @2 :UInt64;
  upserts @3 :List(Data);
  deletes @4 :List(Text);
  part @5 :Int64;
  parts @6 :Int64;
  packed @7 :Data;
}

struct Probe {
}

struct Fresh {
  index @0 :UInt64;
  version @1 :UInt64;
}

struct InForce {
  version @0 :UInt64;
}

struct RenewLease {
  name @0 :Text;
  holder @1 :Text;
  fencing @2 :UInt64;
}

struct LeaseRenewed {
  ttlMs @0 :Int64;
}

struct AwaitCall {
  team @0 :Text;
  route @1 :Text;
  key @2 :Text;
  timeoutMs @3 :Int64;
}

struct CallRecord {
  state @0 :Text;
  digest @1 :Data;
  status @2 :Int64;
  headers @3 :Data;
  body @4 :Data;
}

struct ReadState {
  section @0 :Text;
}

struct StateReply {
  index @0 :UInt64;
  document @1 :Data;
}

struct CachedCheckpoint {
  model @0 :Text;
  version @1 :Text;
  tier @2 :Text;
}

struct ReplicaState {
  model @0 :Text;
  version @1 :Text;
  state @2 :Text;
  orderId @3 :Text;
  adapters @4 :List(Text);
  running @5 :Int64;
  waiting @6 :Int64;
}

struct OrderOutcome {
  orderId @0 :Text;
  outcome @1 :Text;
  reason @2 :Text;
}

struct CacheEvent {
  prefix @0 :UInt64;
  stored @1 :Bool;
}

struct TargetState {
  target @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  kind @3 :Text;
  services @4 :List(Text);
  availabilityZone @5 :Text;
  address @6 :Text;
  memoryBytes @7 :UInt64;
  checksFencing @8 :Bool;
  fencing @9 :UInt64;
  leaving @10 :Bool;
  ageMs @11 :Int64;
  cached @12 :List(CachedCheckpoint);
  replicas @13 :List(ReplicaState);
  orders @14 :List(OrderOutcome);
  cacheBatch @15 :UInt64;
  cacheEvents @16 :List(CacheEvent);
}

struct Announcements {
  targets @0 :List(TargetState);
}

struct Subscribe {
  gateway @0 :Text;
  availabilityZone @1 :Text;
}

struct DirectoryUpdate {
  full @0 :Bool;
  targets @1 :List(TargetState);
  removed @2 :List(Text);
}

struct DemandItem {
  model @0 :Text;
  adapter @1 :Text;
  team @2 :Text;
  waiting @3 :Int64;
  running @4 :Int64;
  earliestDeadlineMs @5 :Int64;
}

struct Demand {
  gateway @0 :Text;
  full @1 :Bool;
  items @2 :List(DemandItem);
}

struct VerdictItem {
  model @0 :Text;
  adapter @1 :Text;
  readyInMs @2 :Int64;
  refused @3 :Bool;
  reason @4 :Text;
}

struct Verdict {
  items @0 :List(VerdictItem);
}

struct GrantRequest {
  gateway @0 :Text;
  team @1 :Text;
  wanted @2 :Int64;
  waiting @3 :Int64;
  returned @4 :Int64;
  returnedGrant @5 :UInt64;
}

struct Grant {
  team @0 :Text;
  grantId @1 :UInt64;
  tokens @2 :Int64;
  validMs @3 :Int64;
  retryAfterMs @4 :Int64;
}

struct Interest {
  models @0 :List(Text);
}

struct ReplicaLoad {
  replica @0 :UInt64;
  running @1 :Int64;
  waiting @2 :Int64;
}

struct TargetLoad {
  target @0 :Text;
  sequence @1 :UInt64;
  ageMs @2 :Int64;
  loads @3 :List(ReplicaLoad);
  cacheBatch @4 :UInt64;
  cacheEvents @5 :List(CacheEvent);
}

struct TargetAge {
  target @0 :Text;
  ageMs @1 :Int64;
}

struct Loads {
  boundMs @0 :Int64;
  late @1 :List(TargetAge);
  targets @2 :List(TargetLoad);
}

struct TimeoutNow {
  term @0 :UInt64;
  leader @1 :Text;
}

struct SubscriberState {
  session @0 :Text;
  role @1 :Text;
  version @2 :UInt64;
}

struct RelayProbe {
  subscribers @0 :List(SubscriberState);
}

struct DescribeMember {
}

struct MemberDescription {
  name @0 :Text;
  identity @1 :Text;
  founded @2 :Bool;
}

struct AddMember {
  name @0 :Text;
  host @1 :Text;
  port @2 :Int64;
}

struct ResignVoter {
  member @0 :Text;
}

struct PrepareBootstrap {
  round @0 :Int64;
  proposer @1 :Text;
}

struct AcceptBootstrap {
  round @0 :Int64;
  proposer @1 :Text;
  configuration @2 :Data;
}

struct BootstrapVote {
  seeds @0 :List(Text);
  promisedRound @1 :Int64;
  promisedProposer @2 :Text;
  acceptedRound @3 :Int64;
  acceptedProposer @4 :Text;
  configuration @5 :Data;
}

struct RemoveMember {
  name @0 :Text;
  force @1 :Bool;
}

struct HeldModel {
  name @0 :Text;
  version @1 :UInt64;
  adapters @2 :List(Text);
}

struct Registration {
  target @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  address @4 :Text;
  availabilityZone @5 :Text;
  slots @6 :Int64;
  state @7 :Text;
  slowForMs @8 :Int64;
  remainingMs @9 :Int64;
  models @10 :List(HeldModel);
  inMemory @11 :List(Text);
  onDisk @12 :List(Text);
  leaving @13 :Bool;
  softwareVersion @14 :Text;
}

struct WatchRegistry {
  placementsOnly @0 :Bool;
}

struct Registrations {
  registrations @0 :List(Registration);
  subscribers @1 :Int64;
  members @2 :List(Text);
}

struct FleetActive {
  fencing @0 :UInt64;
  budgetFencing @1 :UInt64;
  keepsStreamOrigins @2 :Bool;
}

struct ModelNeed {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  waiting @3 :Int64;
  arrived @4 :Int64;
  timelyForMs @5 :Int64;
  priority @6 :Int64;
  patientForMs @7 :Int64;
  ratePerKs @8 :Int64;
  servedMilli @9 :Int64;
  unservedMilli @10 :Int64;
  softwareVersion @11 :Text;
}

struct TargetUse {
  target @0 :Text;
  model @1 :Text;
  running @2 :Int64;
  adapter @3 :Text;
}

struct FleetDemand {
  gateway @0 :Text;
  needs @1 :List(ModelNeed);
  uses @2 :List(TargetUse);
  unreachable @3 :List(Text);
}

struct PlacedModel {
  name @0 :Text;
  state @1 :Text;
  readyInMs @2 :Int64;
  adapters @3 :List(Text);
}

struct Placement {
  target @0 :Text;
  incarnation @1 :UInt64;
  running @2 :Int64;
  models @3 :List(PlacedModel);
}

struct Placements {
  fencing @0 :UInt64;
  placements @1 :List(Placement);
}

struct ModelDelay {
  service @0 :Text;
  model @1 :Text;
  readyInMs @2 :Int64;
}

struct ModelDelays {
  fencing @0 :UInt64;
  delays @1 :List(ModelDelay);
}

struct SuspectPrompt {
  parts @0 :List(Text);
}

struct ServedPart {
  part @0 :Text;
  ageMs @1 :Int64;
}

struct TargetCrash {
  target @0 :Text;
  incarnation @1 :UInt64;
  prompts @2 :List(SuspectPrompt);
  served @3 :List(ServedPart);
}

struct PromptQuarantine {
  parts @0 :List(Text);
  forMs @1 :Int64;
}

struct PromptQuarantines {
  quarantines @0 :List(PromptQuarantine);
  suspects @1 :List(Text);
}

struct PartsServed {
  served @0 :List(ServedPart);
}

struct RateLimit {
  target @0 :Text;
  incarnation @1 :UInt64;
  limited @2 :Bool;
  requestsPerS @3 :Float64;
}

struct RateLimits {
  limits @0 :List(RateLimit);
}

struct PermitRequest {
  target @0 :Text;
}

struct Permit {
  waitUs @0 :Int64;
}

struct StreamOrigin {
  stream @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
  keepMs @3 :Int64;
}

struct StreamOrigins {
  origins @0 :List(StreamOrigin);
}

struct FindStreamOrigin {
  stream @0 :Text;
  service @1 :Text;
}

struct FoundStreamOrigin {
  recorded @0 :Bool;
  service @1 :Text;
  softwareVersion @2 :Text;
  soleVersion @3 :Text;
  soleForMs @4 :Int64;
}

struct Envelope {
  # A reply carries the id of its request; notifications have the id 0.
  id @0 :UInt64;
  reply @1 :Bool;
  body :union {
    hello @2 :Hello;
    helloProof @3 :HelloProof;
    ack @4 :Ack;
    error @5 :Error;
    voteRequest @6 :VoteRequest;
    voteReply @7 :VoteReply;
    appendRequest @8 :AppendRequest;
    appendReply @9 :AppendReply;
    snapshotChunk @10 :SnapshotChunk;
    snapshotReply @11 :SnapshotReply;
    propose @12 :Propose;
    proposed @13 :Proposed;
    watch @14 :Watch;
    configSnapshot @15 :ConfigSnapshot;
    configDelta @16 :ConfigDelta;
    probe @17 :Probe;
    fresh @18 :Fresh;
    inForce @19 :InForce;
    renewLease @20 :RenewLease;
    leaseRenewed @21 :LeaseRenewed;
    awaitCall @22 :AwaitCall;
    callRecord @23 :CallRecord;
    readState @24 :ReadState;
    stateReply @25 :StateReply;
    announcements @26 :Announcements;
    subscribe @27 :Subscribe;
    directoryUpdate @28 :DirectoryUpdate;
    demand @29 :Demand;
    verdict @30 :Verdict;
    grantRequest @31 :GrantRequest;
    grant @32 :Grant;
    interest @33 :Interest;
    loads @34 :Loads;
    timeoutNow @35 :TimeoutNow;
    relayProbe @36 :RelayProbe;
    describeMember @37 :DescribeMember;
    memberDescription @38 :MemberDescription;
    addMember @39 :AddMember;
    removeMember @40 :RemoveMember;
    watchRegistry @41 :WatchRegistry;
    registrations @42 :Registrations;
    fleetActive @43 :FleetActive;
    fleetDemand @44 :FleetDemand;
    placements @45 :Placements;
    targetCrash @46 :TargetCrash;
    promptQuarantines @47 :PromptQuarantines;
    partsServed @48 :PartsServed;
    rateLimits @49 :RateLimits;
    permitRequest @50 :PermitRequest;
    permit @51 :Permit;
    modelDelays @52 :ModelDelays;
    streamOrigins @53 :StreamOrigins;
    findStreamOrigin @54 :FindStreamOrigin;
    foundStreamOrigin @55 :FoundStreamOrigin;
    resignVoter @56 :ResignVoter;
    prepareBootstrap @57 :PrepareBootstrap;
    acceptBootstrap @58 :AcceptBootstrap;
    bootstrapVote @59 :BootstrapVote;
  }
}

struct PublishConfig {
  version @0 :UInt64;
  digest @1 :Data;
  publisher @2 :Text;
  objects @3 :List(Data);
  packed @4 :Data;
}

struct GrantKey {
  name @0 :Text;
  team @1 :Text;
  hash @2 :Text;
  publisher @3 :Text;
}

struct WithdrawKey {
  name @0 :Text;
  publisher @1 :Text;
  hash @2 :Text;
}

struct AcquireLease {
  name @0 :Text;
  holder @1 :Text;
}

struct ReleaseLease {
  name @0 :Text;
  holder @1 :Text;
  fencing @2 :UInt64;
}

struct ExpireLease {
  name @0 :Text;
  fencing @1 :UInt64;
}

struct ClaimCall {
  team @0 :Text;
  route @1 :Text;
  key @2 :Text;
  digest @3 :Data;
  gateway @4 :Text;
  claimId @5 :Text;
  nowMs @6 :Int64;
  limitBytes @7 :Int64;
}

struct FinishCall {
  team @0 :Text;
  route @1 :Text;
  key @2 :Text;
  claimId @3 :Text;
  state @4 :Text;
  status @5 :Int64;
  headers @6 :Data;
  body @7 :Data;
  nowMs @8 :Int64;
}

struct AbandonCalls {
  gateway @0 :Text;
}

struct DropCalls {
  beforeMs @0 :Int64;
}

struct ReplicaChange {
  action @0 :Text;
  decisionId @1 :Text;
  target @2 :Text;
  incarnation @3 :UInt64;
  model @4 :Text;
  modelVersion @5 :Text;
  adapter @6 :Text;
  reservedBytes @7 :Int64;
}

struct DecideReplicas {
  fencing @0 :UInt64;
  changes @1 :List(ReplicaChange);
}

struct CheckpointBudget {
  shard @0 :Text;
  fencing @1 :UInt64;
  team @2 :Text;
  granted @3 :Int64;
  level @4 :Int64;
  nowMs @5 :Int64;
}

struct ConfigResult {
  code @0 :Text;
  message @1 :Text;
  version @2 :UInt64;
  publisher @3 :Text;
  digest @4 :Data;
}

struct LeaseResult {
  granted @0 :Bool;
  holder @1 :Text;
  fencing @2 :UInt64;
}

struct CallResult {
  code @0 :Text;
  status @1 :Int64;
  headers @2 :Data;
  body @3 :Data;
}

struct Accepted {
  accepted @0 :Bool;
  reason @1 :Text;
}

struct ReplaceConfig {
  version @0 :UInt64;
  publisher @1 :Text;
  source @2 :Data;
  packed @3 :Data;
}

struct Command {
  body :union {
    publishConfig @0 :PublishConfig;
    grantKey @1 :GrantKey;
    withdrawKey @2 :WithdrawKey;
    acquireLease @3 :AcquireLease;
    releaseLease @4 :ReleaseLease;
    expireLease @5 :ExpireLease;
    claimCall @6 :ClaimCall;
    finishCall @7 :FinishCall;
    abandonCalls @8 :AbandonCalls;
    dropCalls @9 :DropCalls;
    decideReplicas @10 :DecideReplicas;
    checkpointBudget @11 :CheckpointBudget;
    replaceConfig @12 :ReplaceConfig;
  }
}

struct Result {
  body :union {
    configResult @0 :ConfigResult;
    leaseResult @1 :LeaseResult;
    callResult @2 :CallResult;
    accepted @3 :Accepted;
  }
}
