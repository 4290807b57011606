// Protocol between entry processes. Fields that end in _ms are milliseconds, in _s seconds.

struct Header {
  1: string name
  2: string value
}

// kind 0: run the request at one of the receiver's hall's targets.
// kind 1: an order, for the entry that issued its ticket.
struct RequestHead {
  1: i32 kind
  2: string decision_id
  3: string service_name
  4: string operation
  5: string method
  6: string path
  7: list<Header> headers
  8: i32 deadline_ms
  9: i64 length
  10: string client
  11: string selector
  12: string ticket
  13: string operation_id
  14: bool is_spill
}

struct Refusal {
  1: string reason
  2: string ran
  3: string message
  4: double retry_after_s
  5: string ticket
}

struct PassedOver {
  1: string name
  2: string why
}

struct AnswerHead {
  1: i32 status
  2: list<Header> headers
  3: string target
  4: i32 index
  5: binary data
  6: bool last
  7: i32 attempts
  8: string record
}

struct Started {
  1: bool admitted
  2: optional Refusal refusal
  3: optional AnswerHead answer
  4: list<PassedOver> passed_over
  5: string target
}

struct Chunk {
  1: i32 index
  2: binary data
  3: bool last
  4: optional Refusal refusal
}

struct TargetReport {
  1: string target
  2: i32 free
  3: i32 flags
}

struct Member {
  1: string name
  2: string hall
  3: string incarnation
  4: i64 generation
  5: i64 heartbeat
  6: i64 version
  7: i32 revision
  8: bool is_leaving
  9: bool sees_platform
  10: list<TargetReport> reports
}

struct Gossip {
  1: string sender
  2: string hall
  3: i32 revision
  4: list<Member> members
}

struct LoanRequest {
  1: list<string> targets
  2: string borrower
  3: i32 duration_ms
}

// A slot of a target, lent by its home entry. number 0: no slot was free.
struct Loan {
  1: i32 number
  2: i32 index
  3: string target
}

struct TicketReply {
  1: string ticket
  2: optional Refusal refusal
}

struct Head {
  1: i32 revision
  2: binary data
  3: i64 platform_version
}

service Entry {
  Started start(1: RequestHead head, 2: binary body, 3: bool whole)
  void write(1: Chunk chunk)
  Started finish(1: i32 count)
  Chunk read(1: i32 index)
  void settle()

  Gossip exchange(1: Gossip gossip)
  Loan borrow(1: LoanRequest request)
  void give_back(1: string target, 2: i32 number, 3: string borrower, 4: i32 rest_ms)

  i32 announce(1: Head head, 2: string sender)
  Head get_head()
  binary get_part(1: string digest)
  TicketReply get_ticket(1: string operation_id, 2: string incarnation)
  binary find_decision(1: string decision_id)
}
