#include "figreach/direct/quota/quota_report.h"

#include <algorithm>
#include <cmath>

#include "../../parse_message.h"
#include "peer.pb.h"

namespace figreach::direct {

namespace wire = peer::v1;

namespace {

constexpr double max_depth = 1e9;

bool is_fraction(double value)
{
    return value >= 0.0 && value <= 1.0;
}

} // namespace

std::string encode(const quota_report& report)
{
    wire::QuotaReport out;
    out.set_host(report.host.value);
    out.set_lifetime(report.lifetime);
    out.set_number(report.number);
    for (const auto& one : report.tenants) {
        auto& added = *out.add_tenants();
        added.set_tenant(one.tenant.value);
        added.set_requests(one.requests);
        added.set_over_ms(static_cast<std::uint32_t>(one.over.count()));
        added.set_held_share(one.held_share);
        added.set_wanted(one.wanted);
    }
    return out.SerializeAsString();
}

std::string encode(const quota_shares& shares)
{
    wire::QuotaShares out;
    out.set_number(shares.number);
    out.set_lifetime_ms(static_cast<std::uint32_t>(shares.lifetime.count()));
    out.set_hosts(shares.hosts);
    for (const auto& one : shares.tenants) {
        auto& added = *out.add_tenants();
        added.set_tenant(one.tenant.value);
        added.set_fraction(one.fraction);
        added.set_depth(one.depth);
        added.set_immediate(one.immediate);
    }
    return out.SerializeAsString();
}

std::optional<quota_report> decode_quota_report(std::string_view bytes)
{
    const auto in = parse_message<wire::QuotaReport>(bytes);
    if (!in || in->host().empty()) {
        return std::nullopt;
    }
    quota_report out{.host = {in->host()}, .lifetime = in->lifetime(), .number = in->number()};
    for (const auto& one : in->tenants()) {
        if (one.tenant().empty() || !is_fraction(one.held_share())) {
            return std::nullopt;
        }
        out.tenants.push_back({.tenant = {one.tenant()},
                               .requests = one.requests(),
                               .over = milliseconds{one.over_ms()},
                               .held_share = one.held_share(),
                               .wanted = one.wanted()});
    }
    return out;
}

std::optional<quota_shares> decode_quota_shares(std::string_view bytes)
{
    const auto in = parse_message<wire::QuotaShares>(bytes);
    if (!in) {
        return std::nullopt;
    }
    quota_shares out{
        .number = in->number(), .lifetime = milliseconds{in->lifetime_ms()}, .hosts = in->hosts()};
    for (const auto& one : in->tenants()) {
        const bool has_depth = one.depth() >= 0.0 && one.depth() <= max_depth;
        if (one.tenant().empty() || !is_fraction(one.fraction()) || !has_depth) {
            return std::nullopt;
        }
        out.tenants.push_back({.tenant = {one.tenant()},
                               .fraction = one.fraction(),
                               .depth = one.depth(),
                               .immediate = one.immediate()});
    }
    return out;
}

} // namespace figreach::direct
