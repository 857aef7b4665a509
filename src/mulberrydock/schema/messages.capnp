@0xc1a3f4e2b7d90a15;
# Messages that mulberrydock's own processes exchange through the platform
# store. pycapnp loads this schema at run time, so no generator is needed.

struct EntryRecord {
  # An entry daemon's registration, kept alive by its lease.
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  leaving @3 :Bool;
  startedAt @4 :Float64;   # wall-clock seconds since the epoch
  peerAddress @5 :Text;    # where it takes its peers' datagrams, empty if nowhere
}

struct LeaderRecord {
  # Held under the controller's lease; its store version is the fencing token.
  holder @0 :Text;
  acquiredAt @1 :Float64;
}

struct IdempotencyRecord {
  # Written by compare-and-swap before a non-idempotent call, then completed.
  enum State {
    started @0;
    done @1;
    notRun @2;
  }
  owner @0 :Text;          # entry daemon that made the call
  attempt @1 :Text;        # nonce of the attempt, to recognise a lost answer
  state @2 :State;
  status @3 :UInt16;       # HTTP status of the stored answer
  body @4 :Data;           # the stored answer
  createdAt @5 :Float64;
}

struct PlanRecord {
  # Kept at control/plan by the active controller: what it is changing now.
  holder @0 :Text;
  held @1 :List(Text);     # engines that must get no new work
}

struct LoadRecord {
  # Unfinished work of one entry VM at one upstream instance.
  instance @0 :Text;
  running @1 :UInt32;
  prefill @2 :List(UInt32);  # tokens not yet read, the most urgent first
  longest @3 :UInt32;        # tokens of the longest unread prompt
}

struct ReadRecord {
  # Parts of prompts that one engine read for one entry VM, in order.
  instance @0 :Text;
  keys @1 :List(UInt32);     # short names of the parts
  tokens @2 :List(UInt32);   # their lengths
}

struct SampleRecord {
  # One prompt that an engine read without a queue before it.
  service @0 :Text;
  tokens @1 :UInt32;       # that were read
  cached @2 :UInt32;       # that stood before them
  seconds @3 :Float32;     # from the call to its answer
}

struct PoolRecord {
  # What one entry VM learnt of one service.
  service @0 :Text;
  reading @1 :Float32;     # demand a second: work of reading, in tokens
  moved @2 :Float32;       # tokens whose KV cache is handed over
  streams @3 :Float32;     # requests
  overhead @4 :Float64;    # fitted seconds of one prefill
  token @5 :Float64;       # and for each token, 0 while nothing is fitted
  pair @6 :Float64;        # and for each pair of tokens
  apart @7 :Float32;       # work sent to prefill engines a second, in tokens
  inPlace @8 :Float32;     # work sent to decode engines a second
  short @9 :Float32;       # part of reading that decode engines could do as well
}

struct CrashRecord {
  # An instance crashed under a request; the key names both.
  writtenAt @0 :Float64;   # wall-clock seconds since the epoch
  by @1 :Text;             # entry VM that wrote it
}

struct CrashNews {
  # The same, told to peers, by fingerprints.
  work @0 :Text;
  instance @1 :Text;
}

struct LimitNews {
  # The rate limit that an instance declares, told to peers.
  instance @0 :Text;
  rate @1 :Float64;        # requests a second, 0 when it has none any more
  ageMs @2 :UInt32;        # since an answer showed it
}

struct PeerMessage {
  # Sent several times a second from each entry VM to its peers over UDP. With
  # dataCentre it is the sum of all VMs there, by the one that is named.
  name @0 :Text;
  sequence @1 :UInt64;     # grows over restarts: drawn from the clock at start
  leaving @2 :Bool;
  loads @3 :List(LoadRecord);
  held @4 :List(Text);     # instances under change: no new work for now
  intervalMs @5 :UInt32;   # until the sender's next message
  reads @6 :List(ReadRecord);   # since the sender's last message
  pools @7 :List(PoolRecord);   # in some messages only
  samples @8 :List(SampleRecord);   # since the sender's last message
  dataCentre @9 :Text;     # whose sum this is, empty for the sender's own counts
  suspects @10 :List(Text);    # instances that the sender passes over, having failed
  crashes @11 :List(CrashNews);   # that the sender saw; repeated, as datagrams get lost
  limits @12 :List(LimitNews);   # changed ones in each message, all in some
}
