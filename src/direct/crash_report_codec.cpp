#include "crash_report_codec.h"

#include <optional>
#include <utility>

namespace figreach::direct {

void fill(peer::v1::CrashReport& out, const crash_report& report)
{
    out.set_digest_high(report.digest.high);
    out.set_digest_low(report.digest.low);
    for (const auto& one : report.losses) {
        auto* item = out.add_losses();
        item->set_server(one.server.server.value);
        item->set_lifetime(one.server.lifetime);
        item->set_failure_domain(one.failure_domain.value);
        item->set_sender(one.sender.value);
        item->set_ran_ms(static_cast<std::uint32_t>(one.ran.count()));
        item->set_age_ms(static_cast<std::uint32_t>(one.age.count()));
        item->set_stored(one.stored);
        if (one.alive_age) {
            item->set_alive_age_ms(static_cast<std::uint32_t>(one.alive_age->count()));
        }
    }
    if (report.cleared_age) {
        out.set_cleared_age_ms(static_cast<std::uint32_t>(report.cleared_age->count()));
    }
}

std::vector<crash_report>
to_crash_reports(const google::protobuf::RepeatedPtrField<peer::v1::CrashReport>& in)
{
    std::vector<crash_report> out;
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const auto& one : in) {
        crash_report report{.digest = {.high = one.digest_high(), .low = one.digest_low()},
                            .losses = {},
                            .cleared_age = std::nullopt};
        for (const auto& loss : one.losses()) {
            report.losses.push_back(
                {.server = {.server = {loss.server()}, .lifetime = loss.lifetime()},
                 .failure_domain = {loss.failure_domain()},
                 .sender = {loss.sender()},
                 .ran = milliseconds{loss.ran_ms()},
                 .age = milliseconds{loss.age_ms()},
                 .alive_age = loss.has_alive_age_ms()
                                  ? std::optional{milliseconds{loss.alive_age_ms()}}
                                  : std::nullopt,
                 .stored = loss.stored()});
        }
        if (one.has_cleared_age_ms()) {
            report.cleared_age = milliseconds{one.cleared_age_ms()};
        }
        out.push_back(std::move(report));
    }
    return out;
}

} // namespace figreach::direct
