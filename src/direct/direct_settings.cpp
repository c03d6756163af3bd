#include "figreach/direct/direct_settings.h"

#include "figreach/toml_reader.h"

namespace figreach::direct {

namespace {

constexpr milliseconds max_duration = std::chrono::hours{1};
constexpr double max_cores = 1024.0;
constexpr double max_allowance = 1e6;

} // namespace

parsed_direct_settings parse_direct_settings(std::string_view toml, const std::string& file)
{
    parsed_direct_settings out;
    const auto root = parse_toml(toml, file, out.faults);
    if (!root) {
        return out;
    }
    toml_reader in{*root, "", file, out.faults};
    auto& value = out.value;
    value.name = {in.name("name")};
    value.failure_domain = {in.name("failure_domain")};
    value.caller_address = in.address("caller_address");
    value.admin_address = in.address("admin_address");
    value.peer_address = in.address("peer_address");
    value.store_address = in.address("store_address");
    value.log_level =
        in.choice_or("log_level", value.log_level, {"debug", "info", "warn", "error", "off"});
    value.processor_share =
        in.fraction_or("processor_share", value.processor_share, 0.001, max_cores);
    value.stop_limit =
        in.seconds_or("stop_limit_s", value.stop_limit, milliseconds{1}, max_duration);
    value.leaving_limit =
        in.seconds_or("leaving_limit_s", value.leaving_limit, milliseconds{0}, max_duration);
    value.repeat_share = in.fraction_or("repeat_share", value.repeat_share, 0.0, 1.0);
    value.repeat_allowance =
        in.fraction_or("repeat_allowance", value.repeat_allowance, 0.0, max_allowance);
    value.max_hold =
        in.seconds_or("longest_hold_s", value.max_hold, milliseconds{500}, max_duration);
    value.report_interval =
        in.seconds_or("report_interval_s", value.report_interval, milliseconds{1}, max_duration);
    const auto revocation_limit =
        in.seconds_or("revocation_limit_s", milliseconds{0}, milliseconds{500}, max_duration);
    if (revocation_limit > milliseconds{0}) {
        value.revocation_limit = revocation_limit;
    }
    value.quota.window =
        in.seconds_or("quota_window_s", value.quota.window, milliseconds{100}, max_duration);
    value.quota.excess = in.fraction_or("quota_excess", value.quota.excess, 0.0, 1.0);
    value.quota.slack = in.fraction_or("quota_slack", value.quota.slack, 0.0, max_allowance);
    for (const auto& text : in.texts_or("released_requests", {})) {
        if (const auto digest = parse_request_digest(text)) {
            value.released_requests.push_back(*digest);
        }
        else {
            in.add_fault("released_requests", "'" + text + "'", "digests of 32 hexadecimal digits");
        }
    }
    in.reject_unknown_keys();
    return out;
}

} // namespace figreach::direct
