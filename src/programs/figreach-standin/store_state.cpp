#include "store_state.h"

#include <utility>
#include <vector>

namespace figreach::standin {

namespace wire = etcdserverpb;

namespace {

constexpr std::size_t max_events = 10000;

/// Whether a key is in a range as defined by the etcd API: an empty end means the single key
/// `first`, an end of one zero byte means no upper bound.
bool in_range(const std::string& key, const std::string& first, const std::string& end)
{
    if (end.empty()) {
        return key == first;
    }
    const bool unbounded = end == std::string(1, '\0');
    return first <= key && (unbounded || key < end);
}

template <class Number>
bool compare(wire::Compare::CompareResult how, const Number& left, const Number& right)
{
    switch (how) {
    case wire::Compare::EQUAL:
        return left == right;
    case wire::Compare::GREATER:
        return left > right;
    case wire::Compare::LESS:
        return left < right;
    case wire::Compare::NOT_EQUAL:
        return left != right;
    default:
        return false;
    }
}

} // namespace

void store_state::range(const wire::RangeRequest& request, wire::RangeResponse& answer)
{
    const std::lock_guard lock{this->guard};
    this->range_locked(request, answer);
}

void store_state::put(const wire::PutRequest& request, wire::PutResponse& answer)
{
    const std::lock_guard lock{this->guard};
    this->put_locked(request);
    answer.mutable_header()->set_revision(this->current_revision);
}

void store_state::remove(const wire::DeleteRangeRequest& request, wire::DeleteRangeResponse& answer)
{
    const std::lock_guard lock{this->guard};
    answer.set_deleted(this->remove_locked(request.key(), request.range_end()));
    answer.mutable_header()->set_revision(this->current_revision);
}

void store_state::transact(const wire::TxnRequest& request, wire::TxnResponse& answer)
{
    const std::lock_guard lock{this->guard};
    bool all_hold = true;
    for (const auto& one : request.compare()) {
        all_hold = all_hold && this->evaluate(one);
    }
    answer.set_succeeded(all_hold);
    for (const auto& one : all_hold ? request.success() : request.failure()) {
        this->execute(one, *answer.add_responses());
    }
    answer.mutable_header()->set_revision(this->current_revision);
}

void store_state::grant_lease(const wire::LeaseGrantRequest& request,
                              wire::LeaseGrantResponse& answer)
{
    const std::lock_guard lock{this->guard};
    const auto id = request.id() != 0 ? request.id() : this->next_lease++;
    const seconds time_to_live{request.ttl()};
    this->leases[id] = {.time_to_live = time_to_live,
                        .expires_at = monotonic_time::clock::now() + time_to_live};
    answer.set_id(id);
    answer.set_ttl(request.ttl());
    answer.mutable_header()->set_revision(this->current_revision);
}

void store_state::revoke_lease(std::int64_t id)
{
    const std::lock_guard lock{this->guard};
    this->remove_lease_locked(id);
}

std::int64_t store_state::keep_alive(std::int64_t id)
{
    const std::lock_guard lock{this->guard};
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return 0;
    }
    found->second.expires_at = monotonic_time::clock::now() + found->second.time_to_live;
    return found->second.time_to_live.count();
}

void store_state::expire_leases(bool all)
{
    const std::lock_guard lock{this->guard};
    const auto now = monotonic_time::clock::now();
    std::vector<std::int64_t> due;
    for (const auto& [id, one] : this->leases) {
        if (all || one.expires_at <= now) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        this->remove_lease_locked(id);
    }
}

std::int64_t store_state::wait_events(const wire::WatchCreateRequest& watch, std::int64_t from,
                                      monotonic_time until, wire::WatchResponse& answer)
{
    std::unique_lock lock{this->guard};
    this->changed.wait_until(lock, until, [&] { return this->current_revision >= from; });
    for (const auto& event : this->events) {
        const bool wanted = event.kv().mod_revision() >= from &&
                            in_range(event.kv().key(), watch.key(), watch.range_end());
        if (wanted) {
            *answer.add_events() = event;
        }
    }
    answer.mutable_header()->set_revision(this->current_revision);
    return this->current_revision + 1;
}

std::int64_t store_state::revision()
{
    const std::lock_guard lock{this->guard};
    return this->current_revision;
}

void store_state::range_locked(const wire::RangeRequest& request, wire::RangeResponse& answer) const
{
    answer.mutable_header()->set_revision(this->current_revision);
    auto one = this->values.lower_bound(request.key());
    for (; one != this->values.end(); ++one) {
        if (!in_range(one->first, request.key(), request.range_end())) {
            break;
        }
        *answer.add_kvs() = one->second;
    }
    answer.set_count(answer.kvs_size());
}

void store_state::put_locked(const wire::PutRequest& request)
{
    ++this->current_revision;
    auto& value = this->values[request.key()];
    if (value.version() == 0) {
        value.set_key(request.key());
        value.set_create_revision(this->current_revision);
    }
    value.set_value(request.value());
    value.set_version(value.version() + 1);
    value.set_mod_revision(this->current_revision);
    value.set_lease(request.lease());
    wire::Event event;
    event.set_type(wire::Event::PUT);
    *event.mutable_kv() = value;
    this->append_event(std::move(event));
}

std::int64_t store_state::remove_locked(const std::string& first, const std::string& end)
{
    std::int64_t count = 0;
    auto one = this->values.lower_bound(first);
    while (one != this->values.end() && in_range(one->first, first, end)) {
        ++this->current_revision;
        ++count;
        wire::Event event;
        event.set_type(wire::Event::DELETE);
        event.mutable_kv()->set_key(one->first);
        event.mutable_kv()->set_mod_revision(this->current_revision);
        this->append_event(std::move(event));
        one = this->values.erase(one);
    }
    return count;
}

void store_state::execute(const wire::RequestOp& one, wire::ResponseOp& answer)
{
    if (one.has_request_put()) {
        this->put_locked(one.request_put());
        answer.mutable_response_put()->mutable_header()->set_revision(this->current_revision);
    }
    if (one.has_request_range()) {
        this->range_locked(one.request_range(), *answer.mutable_response_range());
    }
    if (one.has_request_delete_range()) {
        const auto& range = one.request_delete_range();
        answer.mutable_response_delete_range()->set_deleted(
            this->remove_locked(range.key(), range.range_end()));
    }
}

bool store_state::evaluate(const wire::Compare& one) const
{
    static const wire::KeyValue absent;
    const auto found = this->values.find(one.key());
    const auto& current = found == this->values.end() ? absent : found->second;
    switch (one.target()) {
    case wire::Compare::VERSION:
        return compare(one.result(), current.version(), one.version());
    case wire::Compare::CREATE:
        return compare(one.result(), current.create_revision(), one.create_revision());
    case wire::Compare::MOD:
        return compare(one.result(), current.mod_revision(), one.mod_revision());
    case wire::Compare::VALUE:
        return compare(one.result(), current.value(), one.value());
    case wire::Compare::LEASE:
        return compare(one.result(), current.lease(), one.lease());
    default:
        return false;
    }
}

void store_state::remove_lease_locked(std::int64_t id)
{
    if (this->leases.erase(id) == 0) {
        return;
    }
    std::vector<std::string> held;
    for (const auto& [key, value] : this->values) {
        if (value.lease() == id) {
            held.push_back(key);
        }
    }
    for (const auto& key : held) {
        this->remove_locked(key, {});
    }
}

void store_state::append_event(wire::Event event)
{
    this->events.push_back(std::move(event));
    if (this->events.size() > max_events) {
        this->events.pop_front();
    }
    this->changed.notify_all();
}

} // namespace figreach::standin
