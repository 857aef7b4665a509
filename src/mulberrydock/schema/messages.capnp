@0xc1a3f4e2b7d90a15;
# Records that mulberrydock's processes keep in the platform store, and the message
# that entry VMs send to each other. pycapnp loads this schema at run time, so no code
# is generated from it.

struct EntryRecord {
  # Registration of an entry daemon, attached to its lease.
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  leaving @3 :Bool;
  startedAt @4 :Float64;   # Unix time in seconds
  peerAddress @5 :Text;    # host:port for datagrams from its peers and for requests that
                           # they forward, empty when none
  forwardKey @6 :Data;     # signs requests forwarded to this VM, empty when it takes none
}

struct LeaderRecord {
  # Written under the leader's lease; its store version is the fencing token.
  holder @0 :Text;
  acquiredAt @1 :Float64;
}

struct IdempotencyRecord {
  # Written by compare-and-swap before a non-idempotent call and completed after it.
  enum State {
    started @0;
    done @1;
    notRun @2;
  }
  owner @0 :Text;          # entry daemon that made the call
  attempt @1 :Text;        # nonce of the attempt: identifies the writer's own record
                           # when the store's response to the write was lost
  state @2 :State;
  status @3 :UInt16;       # HTTP status of the stored response
  body @4 :Data;           # body of the stored response
  createdAt @5 :Float64;   # Unix time in seconds
}

struct PlanRecord {
  # Written to control/plan by the active controller: the engines it is changing.
  holder @0 :Text;
  held @1 :List(Text);     # cordoned engines, which must get no new work
}

struct LoadRecord {
  # Unfinished work that one entry VM has sent to one upstream instance.
  instance @0 :Text;
  running @1 :UInt32;        # requests
  prefill @2 :List(UInt32);  # tokens not yet prefilled, by priority, most urgent first
  longest @3 :UInt32;        # tokens of the longest prompt not yet prefilled
}

struct ReadRecord {
  # Prompt parts that one engine prefilled for one entry VM, in order.
  instance @0 :Text;
  keys @1 :List(UInt32);     # CRC-32 of the parts' ids
  tokens @2 :List(UInt32);   # their lengths
}

struct SampleRecord {
  # Duration of one prefill that found no queue at its engine.
  service @0 :Text;
  tokens @1 :UInt32;       # prompt tokens that were prefilled
  cached @2 :UInt32;       # tokens before them that were in the engine's KV cache
  seconds @3 :Float32;     # from the call to its response
}

struct PoolRecord {
  # One entry VM's estimates for one service: demand per second, and the fitted cost of
  # a prefill in seconds.
  service @0 :Text;
  reading @1 :Float32;     # demand per second: prefill work, in tokens
  moved @2 :Float32;       # demand per second: tokens whose KV cache is transferred
  streams @3 :Float32;     # demand per second: requests
  overhead @4 :Float64;    # cost of each prefill
  token @5 :Float64;       # additional cost of each token, 0 until a fit exists
  pair @6 :Float64;        # additional cost of each pair of a token and one before it
  apart @7 :Float32;       # prefill work sent to prefill engines per second, in tokens
  inPlace @8 :Float32;     # prefill work sent to decode engines per second, in tokens
  short @9 :Float32;       # part of reading that decode engines could do as well
}

struct CrashRecord {
  # An instance crashed while running a request; the store key names both.
  writtenAt @0 :Float64;   # Unix time in seconds
  by @1 :Text;             # entry VM that wrote the record
  crashedAt @2 :Float64;   # Unix time in seconds
}

struct CrashNews {
  # A crash as sent to peers.
  work @0 :Text;           # fingerprint of the request's work
  instance @1 :Text;       # fingerprint of the incarnation that crashed
  ageMs @2 :UInt32;        # since it crashed
}

struct SoundNews {
  # Work that an instance was seen to serve.
  work @0 :Text;           # fingerprint of the work
  ageMs @1 :UInt32;        # since the instance began to answer
}

struct LimitNews {
  # The rate limit that an instance declares, as sent to peers.
  instance @0 :Text;
  rate @1 :Float64;        # requests per second, 0 when it no longer has a limit
  ageMs @2 :UInt32;        # since the response that declared it
}

struct UsageRecord {
  # The requests of one window that began at the instances, by team.
  window @0 :UInt64;       # number of the window since 1970
  teams @1 :List(Text);
  counts @2 :List(UInt32); # in the order of the teams
}

struct UsageDecisions {
  # The usage reports of the last windows as decided by the leader: what is sent to the
  # platform never differs from this.
  windows @0 :List(UsageRecord);
}

struct UsageNews {
  # The counts of one VM for some windows, as sent to the VM that reports them.
  startedAtMs @0 :UInt64;    # identifies the sender's incarnation; Unix time
  countedUntil @1 :Float64;  # Unix time in seconds up to which the counts are complete
  windows @2 :List(UsageRecord);
}

struct StreamOriginNews {
  # The software version that began a stream, as told, asked or answered.
  kind @0 :UInt8;          # 0 told, 1 asked, 2 answered, 3 to be written to the store
  key @1 :Text;            # of the stream, derived from the request that began it
  version @2 :Text;        # empty if asked, or not known
  service @3 :Text;        # at which it began; empty if asked, or not known
}

struct OriginRecord {
  # The software versions that began some streams; one of several records of a VM.
  origins @0 :List(VersionStreams);
}

struct VersionStreams {
  version @0 :Text;
  keys @1 :Data;           # of the streams, without a separator
  service @2 :Text;
}

struct VersionsRecord {
  # The software versions of each service whose streams may still go on.
  services @0 :List(ServiceVersions);
}

struct ServiceVersions {
  service @0 :Text;
  versions @1 :List(Text);
}

struct PeerMessage {
  # Sent by each entry VM to its peers over UDP, several times a second. With dataCentre
  # set, it holds the sum over all VMs of that data centre, computed by the VM `name`.
  name @0 :Text;
  sequence @1 :UInt64;     # starts at the clock's value, so it also grows over restarts
  leaving @2 :Bool;
  loads @3 :List(LoadRecord);
  held @4 :List(Text);     # cordoned instances: no new work while they change
  intervalMs @5 :UInt32;   # until the sender's next message
  reads @6 :List(ReadRecord);   # since the sender's last message
  pools @7 :List(PoolRecord);   # in some messages only
  samples @8 :List(SampleRecord);   # since the sender's last message
  dataCentre @9 :Text;     # data centre of a sum, empty for the sender's own counts
  suspects @10 :List(Text);    # instances the sender avoids as they failed or refused
  crashes @11 :List(CrashNews);   # seen by the sender; repeated as datagrams may be lost
  limits @12 :List(LimitNews);   # changed ones in every message, all of them in some
  usage @13 :UsageNews;    # when set, the message holds nothing else but the name
  leavingInstances @14 :List(Text);   # incarnations that announced it to the sender
  lostServices @15 :List(Text);   # services to whose instances the sender has no link
  vmsWithoutLinks @16 :List(Text);   # in a sum: VMs without links to some service
  streamOrigin @17 :StreamOriginNews;   # when set, nothing else but the name
  soundWorks @18 :List(SoundNews);   # suspected by a peer, but served since or before
  store @19 :StoreNews;    # unset when the sender polls for itself only
  removedInstances @20 :List(Text);   # incarnations whose record was removed of late
}

struct StoreNews {
  # What the sender, one that polls the store for its peers, knows of it.
  era @0 :UInt32;
  urgentRevision @1 :UInt64;   # of the last change that all must know at once
  soonRevision @2 :UInt64;     # of the last change that all must know soon
  ageMs @3 :UInt32;            # since the store answered a call
  failing @4 :Bool;            # the store left the last call unanswered
}

struct PromptPartRecord {
  # A part of a prompt that requests may share.
  id @0 :Text;
  tokens @1 :UInt32;
}

struct HeaderRecord {
  # One header field of a request.
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  # A client's request that one VM passes to another, which has links to the instances.
  id @0 :Text;
  method @1 :Text;
  target @2 :Text;
  host @3 :Text;
  headers @4 :List(HeaderRecord);
  body @5 :Data;
  leftMs @6 :UInt32;       # until the deadline
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  parts @9 :List(PromptPartRecord);
  lastEventId @10 :UInt64; # of the last event that the client has
  authorization @11 :List(Text);   # empty where clients need API keys
  team @12 :Text;
  priority @13 :Int32;
  sends @14 :UInt32;       # sends that an instance may have received so far
  rejected @15 :UInt32;    # those of them that an instance stated not to have executed
  prefills @16 :UInt32;    # prefill calls that an engine may have received so far
  reservedRetries @17 :UInt32;   # retries granted by the sender's retry budget
  mayHaveRun @18 :Bool;
  begun @19 :Bool;         # the sender has counted the request's begin
  sender @20 :Text;        # name of the VM that received the request
  version @21 :Text;       # at which the stream goes on, empty while any will do
  resumes @22 :Text;       # the request that began the stream, empty if none is named
  prefilled @23 :Bool;     # an engine has accepted one of the prefill calls
  service @24 :Text;       # that is to serve it, empty from a VM of an earlier release
}
