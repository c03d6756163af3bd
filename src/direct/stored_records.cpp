#include "figreach/direct/stored_records.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "../parse_message.h"
#include "crash_report_codec.h"
#include "document.pb.h"
#include "figreach/direct/crash_suspects.h"

namespace figreach::direct {

namespace wire = document::v1;

namespace {

/// Numbers the owners of a table from 1 in order of first occurrence.
class owner_numbers {
public:
    explicit owner_numbers(wire::KeyTable& out_) : out{out_} {}

    std::uint32_t number_of(const key_range& range)
    {
        if (range.owner.empty()) {
            return 0;
        }
        const std::pair owner{std::string_view{range.owner.value}, range.owner_lifetime};
        const auto [place, is_new] = this->numbers.try_emplace(owner, this->numbers.size() + 1);
        if (is_new) {
            auto& added = *this->out.add_owners();
            added.set_server(range.owner.value);
            added.set_lifetime(range.owner_lifetime);
        }
        return static_cast<std::uint32_t>(place->second);
    }

private:
    wire::KeyTable& out;
    std::map<std::pair<std::string_view, std::uint64_t>, std::size_t> numbers;
};

/// Decodes the ranges without their moving flags and tokens, which are encoded separately. Returns
/// an empty optional if an index, width or fence is out of bounds.
std::optional<std::vector<key_range>> ranges_of(const wire::KeyTable& in)
{
    const auto count = in.widths_size();
    if (in.owner_size() != count || in.fences_size() != count) {
        return std::nullopt;
    }
    std::vector<key_range> out;
    out.reserve(static_cast<std::size_t>(count));
    std::uint64_t first = 0;
    for (int i = 0; i < count; ++i) {
        const auto end = first + in.widths(i);
        const auto owner = static_cast<int>(in.owner(i));
        if (end > key_count || end == first || owner < 0 || owner > in.owners_size() ||
            in.fences(i) >= in.next_fence()) {
            return std::nullopt;
        }
        key_range range{.keys = {.first = static_cast<std::uint32_t>(first),
                                 .last = static_cast<std::uint32_t>(end - 1)},
                        .fence = in.fences(i)};
        if (owner > 0) {
            range.owner = {in.owners(owner - 1).server()};
            range.owner_lifetime = in.owners(owner - 1).lifetime();
        }
        out.push_back(std::move(range));
        first = end;
    }
    return out;
}

} // namespace

std::string encode(const key_table& table)
{
    wire::KeyTable out;
    out.set_service(table.service.value);
    out.set_next_fence(table.next_fence);
    owner_numbers owners{out};
    std::uint32_t index = 0;
    for (const auto& range : table.ranges) {
        out.add_widths(range.keys.last - range.keys.first + 1);
        out.add_owner(owners.number_of(range));
        out.add_fences(range.fence);
        if (range.moving) {
            out.add_moving(index);
        }
        if (!range.handover.empty()) {
            auto& token = *out.add_tokens();
            token.set_range(index);
            token.set_token(range.handover);
        }
        ++index;
    }
    return out.SerializeAsString();
}

std::string encode(const leader_term& term)
{
    wire::LeaderTerm out;
    out.set_term(term.term);
    out.set_host(term.host.value);
    out.set_host_lifetime(term.host_lifetime);
    out.set_resigned(term.resigned);
    out.set_hold_ms(static_cast<std::uint32_t>(term.hold.count()));
    out.set_former_orders_ms(static_cast<std::uint32_t>(term.former_orders.count()));
    return out.SerializeAsString();
}

std::string encode(const live_host& host)
{
    wire::LiveHost out;
    out.set_name(host.name.value);
    out.set_lifetime(host.lifetime);
    out.set_peer_address(host.peer_address);
    out.set_processor_percent(host.processor_percent);
    out.set_failure_domain(host.failure_domain.value);
    out.set_secret(host.secret);
    return out.SerializeAsString();
}

std::string encode(const crash_record& record)
{
    wire::CrashRecord out;
    out.set_term(record.term);
    for (const auto& one : record.reports) {
        fill(*out.add_reports(), one);
    }
    return out.SerializeAsString();
}

std::optional<key_table> decode_key_table(std::string_view bytes)
{
    const auto in = parse_message<wire::KeyTable>(bytes);
    if (!in) {
        return std::nullopt;
    }
    auto ranges = ranges_of(*in);
    if (!ranges) {
        return std::nullopt;
    }
    for (const auto index : in->moving()) {
        if (index >= ranges->size()) {
            return std::nullopt;
        }
        (*ranges)[index].moving = true;
    }
    for (const auto& token : in->tokens()) {
        if (token.range() >= ranges->size()) {
            return std::nullopt;
        }
        (*ranges)[token.range()].handover = token.token();
    }
    key_table out{
        .service = {in->service()}, .next_fence = in->next_fence(), .ranges = std::move(*ranges)};
    return covers_all_keys(out) ? std::optional{std::move(out)} : std::nullopt;
}

std::optional<leader_term> decode_leader_term(std::string_view bytes)
{
    const auto in = parse_message<wire::LeaderTerm>(bytes);
    if (!in || in->host().empty()) {
        return std::nullopt;
    }
    return leader_term{.term = in->term(),
                       .host = {in->host()},
                       .host_lifetime = in->host_lifetime(),
                       .resigned = in->resigned(),
                       .hold = milliseconds{in->hold_ms()},
                       .former_orders = milliseconds{in->former_orders_ms()}};
}

std::optional<live_host> decode_live_host(std::string_view bytes)
{
    const auto in = parse_message<wire::LiveHost>(bytes);
    if (!in || in->name().empty()) {
        return std::nullopt;
    }
    return live_host{.name = {in->name()},
                     .lifetime = in->lifetime(),
                     .peer_address = in->peer_address(),
                     .processor_percent = in->processor_percent(),
                     .failure_domain = {in->failure_domain()},
                     .secret = in->secret()};
}

std::optional<crash_record> decode_crash_record(std::string_view bytes)
{
    const auto in = parse_message<wire::CrashRecord>(bytes);
    if (!in || in->reports_size() > static_cast<int>(max_recorded_requests)) {
        return std::nullopt;
    }
    crash_record out{.term = in->term(), .reports = to_crash_reports(in->reports())};
    constexpr auto max_losses = crash_suspects_settings{}.max_losses;
    const bool is_valid =
        std::all_of(out.reports.begin(), out.reports.end(), [](const crash_report& one) {
            return !one.losses.empty() && one.losses.size() <= max_losses;
        });
    return is_valid ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace figreach::direct
