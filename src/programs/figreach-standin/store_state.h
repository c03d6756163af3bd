#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "etcd.pb.h"
#include "figreach/time.h"

namespace figreach::standin {

/// Keys, leases and recent events of the stand-in store. Thread-safe.
class store_state {
public:
    void range(const etcdserverpb::RangeRequest& request, etcdserverpb::RangeResponse& answer);
    void put(const etcdserverpb::PutRequest& request, etcdserverpb::PutResponse& answer);
    void remove(const etcdserverpb::DeleteRangeRequest& request,
                etcdserverpb::DeleteRangeResponse& answer);
    void transact(const etcdserverpb::TxnRequest& request, etcdserverpb::TxnResponse& answer);

    void grant_lease(const etcdserverpb::LeaseGrantRequest& request,
                     etcdserverpb::LeaseGrantResponse& answer);
    void revoke_lease(std::int64_t id);
    /// Renews a lease. Returns its time to live in seconds; 0 if it has expired.
    [[nodiscard]] std::int64_t keep_alive(std::int64_t id);
    /// Removes expired leases and their keys; with `all`, every lease.
    void expire_leases(bool all);

    /// Adds the events of a watch with revision `from` or later to `answer`. Waits, at most until
    /// `until`, if there is no such revision yet. Returns the revision to continue from.
    [[nodiscard]] std::int64_t wait_events(const etcdserverpb::WatchCreateRequest& watch,
                                           std::int64_t from, monotonic_time until,
                                           etcdserverpb::WatchResponse& answer);
    [[nodiscard]] std::int64_t revision();

private:
    struct lease {
        seconds time_to_live{0};
        monotonic_time expires_at{};
    };

    void range_locked(const etcdserverpb::RangeRequest& request,
                      etcdserverpb::RangeResponse& answer) const;
    void put_locked(const etcdserverpb::PutRequest& request);
    std::int64_t remove_locked(const std::string& first, const std::string& end);
    void execute(const etcdserverpb::RequestOp& one, etcdserverpb::ResponseOp& answer);
    [[nodiscard]] bool evaluate(const etcdserverpb::Compare& one) const;
    void remove_lease_locked(std::int64_t id);
    void append_event(etcdserverpb::Event event);

    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, etcdserverpb::KeyValue> values;
    std::map<std::int64_t, lease> leases;
    std::deque<etcdserverpb::Event> events;
    std::int64_t current_revision = 1;
    std::int64_t next_lease = 1;
};

} // namespace figreach::standin
