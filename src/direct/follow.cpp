#include "figreach/direct/follow.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "../parse_message.h"
#include "crash_report_codec.h"
#include "figreach/direct/stored_records.h"
#include "figreach/toml_reader.h"
#include "peer.pb.h"

namespace figreach::direct {

namespace {

namespace wire = peer::v1;

/// Maximum number of retained changes; a host that is further behind reads the store.
constexpr std::size_t max_changes = 4096;

std::optional<store_part> part_of(std::uint32_t number)
{
    for (const auto part : {store_part::operators, store_part::servers, store_part::own}) {
        if (static_cast<std::uint32_t>(part) == number) {
            return part;
        }
    }
    return std::nullopt;
}

constexpr double percent = 100.0;

std::uint64_t to_number(store_era era)
{
    return static_cast<std::uint64_t>(era);
}

void fill(wire::ServerLoad& out, const server_load& load)
{
    out.set_server(load.server.value);
    out.set_running(load.report.running);
    out.set_waiting(load.report.waiting);
    out.set_slots(load.report.slots);
    out.set_slowdown_percent(static_cast<std::uint32_t>(load.report.slowdown * percent));
    out.set_age_ms(static_cast<std::uint32_t>(load.age.count()));
    if (load.full) {
        out.set_full_waiting(load.full->waiting);
        out.set_full_age_ms(static_cast<std::uint32_t>(load.full->age.count()));
    }
}

std::vector<server_load> to_loads(const google::protobuf::RepeatedPtrField<wire::ServerLoad>& in)
{
    std::vector<server_load> out;
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const auto& one : in) {
        out.push_back({.server = {one.server()},
                       .report = {.running = one.running(),
                                  .waiting = one.waiting(),
                                  .slots = one.slots(),
                                  .slowdown = one.slowdown_percent() / percent},
                       .age = milliseconds{one.age_ms()},
                       .full = one.full_waiting() > 0 ? std::optional{full_queue{
                                                            .waiting = one.full_waiting(),
                                                            .age = milliseconds{one.full_age_ms()}}}
                                                      : std::nullopt});
    }
    return out;
}

void fill(wire::RateLimit& out, const rate_limit_report& limit)
{
    out.set_server(limit.server.value);
    if (limit.rate) {
        out.set_per_second(*limit.rate);
    }
    out.set_age_ms(static_cast<std::uint32_t>(limit.age.count()));
}

std::vector<rate_limit_report>
to_rate_limits(const google::protobuf::RepeatedPtrField<wire::RateLimit>& in)
{
    std::vector<rate_limit_report> out;
    for (const auto& one : in) {
        const bool valid =
            !one.has_per_second() || (std::isfinite(one.per_second()) && one.per_second() >= 0.0);
        if (valid) {
            out.push_back(
                {.server = {one.server()},
                 .rate = one.has_per_second() ? std::optional{one.per_second()} : std::nullopt,
                 .age = milliseconds{one.age_ms()}});
        }
    }
    return out;
}

void fill(wire::LeavingServer& out, const leaving_report& report)
{
    out.set_server(report.server.value);
    out.set_lifetime(report.lifetime);
    out.set_age_ms(static_cast<std::uint32_t>(report.age.count()));
}

std::vector<leaving_report>
to_leaving(const google::protobuf::RepeatedPtrField<wire::LeavingServer>& in)
{
    std::vector<leaving_report> out;
    for (const auto& one : in) {
        out.push_back({.server = {one.server()},
                       .lifetime = one.lifetime(),
                       .age = milliseconds{one.age_ms()}});
    }
    return out;
}

store_change to_change(const wire::ItemChange& in, store_era era)
{
    return {.item = {.key = in.key(), .value = in.value(), .revision = {era, in.revision()}},
            .removed = in.removed(),
            .partial = in.partial()};
}

} // namespace

std::string encode(const follow_request& request)
{
    wire::FollowRequest out;
    out.set_host(request.host.value);
    out.set_era(to_number(request.era));
    out.set_wants_listing(request.wants_listing);
    out.set_load_cursor(request.load_cursor);
    for (const auto& [part, revision] : request.positions) {
        auto* item = out.add_positions();
        item->set_part(static_cast<std::uint32_t>(part));
        item->set_revision(revision.number().value);
        item->set_era(to_number(revision.era()));
    }
    for (const auto& one : request.loads) {
        auto* item = out.add_loads();
        item->set_service(one.service.value);
        item->set_key(one.key);
        item->set_requests(one.requests);
    }
    for (const auto& one : request.service_times) {
        auto* item = out.add_paces();
        item->set_server(one.server.value);
        item->set_answers(one.answers);
        item->set_microseconds(static_cast<std::uint64_t>(one.total_time.count()));
    }
    for (const auto& one : request.server_loads) {
        fill(*out.add_server_loads(), one);
    }
    for (const auto& one : request.rate_limits) {
        fill(*out.add_rate_limits(), one);
    }
    for (const auto& one : request.leaving) {
        fill(*out.add_leaving(), one);
    }
    for (const auto& one : request.crashes) {
        fill(*out.add_crashes(), one);
    }
    return out.SerializeAsString();
}

std::string encode(const follow_answer& answer)
{
    wire::FollowAnswer out;
    out.set_era(to_number(answer.era));
    out.set_return_left_ms(static_cast<std::uint32_t>(answer.return_left.count()));
    if (answer.configuration_age) {
        out.set_configuration_age_ms(answer.configuration_age->count());
    }
    out.set_load_cursor(answer.load_cursor);
    out.set_has_crash_record(answer.has_crash_record);
    for (const auto& part : answer.parts) {
        auto* item = out.add_parts();
        item->set_part(static_cast<std::uint32_t>(part.part));
        item->set_revision(part.changes.revision.number().value);
        item->set_era(to_number(part.changes.revision.era()));
        item->set_whole(part.changes.whole);
        for (const auto& change : part.changes.changes) {
            auto* one = item->add_changes();
            one->set_key(change.item.key);
            one->set_value(change.item.value);
            one->set_revision(change.item.revision.number().value);
            one->set_removed(change.removed);
            one->set_partial(change.partial);
        }
    }
    for (const auto& one : answer.server_loads) {
        fill(*out.add_server_loads(), one);
    }
    for (const auto& one : answer.rate_limits) {
        fill(*out.add_rate_limits(), one);
    }
    for (const auto& one : answer.leaving) {
        fill(*out.add_leaving(), one);
    }
    for (const auto& one : answer.crashes) {
        fill(*out.add_crashes(), one);
    }
    return out.SerializeAsString();
}

std::string encode(const leader_hint& hint)
{
    wire::LeaderHint out;
    out.set_term(hint.term);
    out.set_host(hint.host.value);
    out.set_peer_address(hint.peer_address);
    return out.SerializeAsString();
}

std::string encode(const leadership_transfer& offer)
{
    wire::TenureOffer out;
    out.set_term(offer.term);
    out.set_lease(offer.lease.id);
    out.set_era(to_number(offer.term_revision.era()));
    out.set_term_revision(offer.term_revision.number().value);
    out.set_authority_ms(static_cast<std::uint32_t>(offer.authority.count()));
    out.set_former_orders_ms(static_cast<std::uint32_t>(offer.former_orders.count()));
    for (const auto& one : offer.tables) {
        auto* item = out.add_tables();
        item->set_service(one.table.service.value);
        item->set_revision(one.revision.number().value);
        item->set_table(encode(one.table));
    }
    return out.SerializeAsString();
}

std::optional<leader_hint> decode_leader_hint(std::string_view bytes)
{
    const auto in = parse_message<wire::LeaderHint>(bytes);
    if (!in || in->host().empty() || !is_address(in->peer_address())) {
        return std::nullopt;
    }
    return leader_hint{
        .term = in->term(), .host = {in->host()}, .peer_address = in->peer_address()};
}

std::optional<leadership_transfer> decode_leadership_transfer(std::string_view bytes)
{
    const auto in = parse_message<wire::TenureOffer>(bytes);
    if (!in || in->term() == 0) {
        return std::nullopt;
    }
    const store_era era{in->era()};
    leadership_transfer out{.term = in->term(),
                            .lease = {.era = era, .id = in->lease()},
                            .term_revision = {era, in->term_revision()},
                            .authority = milliseconds{in->authority_ms()},
                            .former_orders = milliseconds{in->former_orders_ms()},
                            .tables = {}};
    for (const auto& one : in->tables()) {
        auto table = decode_key_table(one.table());
        if (!table) {
            return std::nullopt;
        }
        out.tables.push_back({.table = std::move(*table), .revision = {era, one.revision()}});
    }
    return out;
}

std::optional<follow_request> decode_follow_request(std::string_view bytes)
{
    const auto in = parse_message<wire::FollowRequest>(bytes);
    if (!in || in->host().empty()) {
        return std::nullopt;
    }
    follow_request out{.host = {in->host()},
                       .positions = {},
                       .loads = {},
                       .service_times = {},
                       .server_loads = to_loads(in->server_loads()),
                       .rate_limits = to_rate_limits(in->rate_limits()),
                       .leaving = to_leaving(in->leaving()),
                       .crashes = to_crash_reports(in->crashes()),
                       .era = store_era{in->era()},
                       .wants_listing = in->wants_listing(),
                       .load_cursor = in->load_cursor()};
    for (const auto& one : in->positions()) {
        const auto part = part_of(one.part());
        if (!part) {
            return std::nullopt;
        }
        out.positions[*part] = {store_era{one.era()}, one.revision()};
    }
    for (const auto& one : in->loads()) {
        if (one.key() >= key_count) {
            return std::nullopt;
        }
        out.loads.push_back(
            {.service = {one.service()}, .key = one.key(), .requests = one.requests()});
    }
    for (const auto& one : in->paces()) {
        out.service_times.push_back({.server = {one.server()},
                                     .answers = one.answers(),
                                     .total_time = std::chrono::microseconds{one.microseconds()}});
    }
    return out;
}

std::optional<follow_answer> decode_follow_answer(std::string_view bytes)
{
    const auto in = parse_message<wire::FollowAnswer>(bytes);
    if (!in) {
        return std::nullopt;
    }
    follow_answer out{.parts = {},
                      .server_loads = to_loads(in->server_loads()),
                      .rate_limits = to_rate_limits(in->rate_limits()),
                      .leaving = to_leaving(in->leaving()),
                      .crashes = to_crash_reports(in->crashes()),
                      .era = store_era{in->era()},
                      .load_cursor = in->load_cursor(),
                      .return_left = milliseconds{in->return_left_ms()},
                      .has_crash_record = in->has_crash_record()};
    if (in->has_configuration_age_ms()) {
        out.configuration_age = milliseconds{in->configuration_age_ms()};
    }
    for (const auto& one : in->parts()) {
        const auto part = part_of(one.part());
        if (!part) {
            return std::nullopt;
        }
        const store_era era{one.era()};
        part_changes changes{
            .part = *part,
            .changes = {.changes = {}, .revision = {era, one.revision()}, .whole = one.whole()}};
        for (const auto& change : one.changes()) {
            changes.changes.changes.push_back(to_change(change, era));
        }
        out.parts.push_back(std::move(changes));
    }
    return out;
}

store_changes newest_of_each_key(store_changes changes)
{
    std::set<std::string> seen;
    std::vector<store_change> kept;
    for (auto at = changes.changes.rbegin(); at != changes.changes.rend(); ++at) {
        if (seen.insert(at->item.key).second) {
            kept.push_back(std::move(*at));
        }
    }
    std::reverse(kept.begin(), kept.end());
    changes.changes = std::move(kept);
    return changes;
}

change_log::change_log(kept_changes kept_) : kept{kept_} {}

void change_log::restart(const store_snapshot& start, monotonic_time now)
{
    this->changes.clear();
    this->current.clear();
    for (const auto& item : start.items) {
        this->current[item.key] = {.item = item};
    }
    this->floor = start.revision;
    this->position = start.revision;
    this->confirmed_at = now;
}

void change_log::add(const store_changes& more, monotonic_time now)
{
    for (const auto& change : more.changes) {
        if (change.item.revision <= this->position) {
            continue;
        }
        if (this->kept == kept_changes::newest_of_each_key) {
            std::erase_if(this->changes,
                          [&](const auto& one) { return one.item.key == change.item.key; });
        }
        this->changes.insert(this->first_after(change.item.revision), change);
        if (change.removed) {
            this->current.erase(change.item.key);
        }
        else {
            this->current[change.item.key] = change;
        }
    }
    this->position = std::max(this->position, more.revision);
    this->confirmed_at = now;
    while (this->changes.size() > max_changes) {
        this->floor = this->changes.front().item.revision;
        this->changes.pop_front();
    }
}

store_changes change_log::changes_to(const store_snapshot& later) const
{
    store_changes out{.changes = {}, .revision = later.revision};
    std::set<std::string_view> present;
    for (const auto& item : later.items) {
        present.insert(item.key);
        if (item.revision > this->position) {
            out.changes.push_back({.item = item});
        }
    }
    for (const auto& [key, change] : this->current) {
        if (!present.contains(key)) {
            out.changes.push_back(
                {.item = {.key = key, .value = {}, .revision = later.revision}, .removed = true});
        }
    }
    std::stable_sort(out.changes.begin(), out.changes.end(),
                     [](const store_change& left, const store_change& right) {
                         return left.item.revision < right.item.revision;
                     });
    return out;
}

std::optional<monotonic_time> change_log::last_confirmed() const
{
    return this->confirmed_at;
}

/// The leader searches the log for each follower at each change, so this is a binary search.
std::deque<store_change>::const_iterator change_log::first_after(store_revision revision) const
{
    return std::partition_point(
        this->changes.begin(), this->changes.end(),
        [&](const auto& change) { return change.item.revision <= revision; });
}

std::optional<store_changes>
change_log::after(store_revision revision, monotonic_time confirmed_after, bool wants_listing) const
{
    const bool is_confirmed = this->confirmed_at && *this->confirmed_at >= confirmed_after;
    if (!is_confirmed || revision.era() > this->position.era()) {
        return std::nullopt;
    }
    const bool is_earlier_era = revision.era() < this->position.era();
    if (wants_listing && (is_earlier_era || revision.number().value == 0)) {
        return this->listing();
    }
    if (is_earlier_era) {
        return store_changes{.changes = {}, .revision = revision};
    }
    if (revision < this->floor) {
        return std::nullopt;
    }
    return store_changes{.changes = {this->first_after(revision), this->changes.end()},
                         .revision = this->position};
}

store_changes change_log::listing() const
{
    store_changes out{.changes = {}, .revision = this->position, .whole = true};
    for (const auto& [key, change] : this->current) {
        out.changes.push_back(change);
    }
    return out;
}

} // namespace figreach::direct
