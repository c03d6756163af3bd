#include "figreach/direct/runtime/forwarding.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "figreach/direct/runtime/exchange.h"
#include "figreach/error_kind.h"
#include "figreach/runtime/relay.h"
#include "request_codec.h"

namespace figreach::direct {

namespace http = boost::beast::http;

namespace {

constexpr auto from_field = "X-Figreach-Forwarded-By";
constexpr auto hops_field = "X-Figreach-Hops-Left";
constexpr auto digest_field = "X-Figreach-Digest";
constexpr auto server_field = "X-Figreach-Server";
constexpr auto counted_field = "X-Figreach-Counted";
constexpr auto service_field = "X-Figreach-Selected-Service";
constexpr auto configuration_field = "X-Figreach-Configuration";
constexpr auto refusal_field = "X-Figreach-Refusal";
constexpr auto retry_after_field = "X-Figreach-Retry-After-Ms";
constexpr std::uint32_t max_hops = 1;
constexpr std::uint32_t max_retry_after_ms = 60'000;

std::string take_field(http::fields& fields, const char* name)
{
    const auto text = fields[name];
    std::string out{text.data(), text.size()};
    fields.erase(name);
    return out;
}

/// Returns 0 if the text is not a number.
template <class Number>
Number bounded_number(const std::string& text, Number max)
{
    Number out = 0;
    const auto [parsed, failed] = std::from_chars(text.data(), text.data() + text.size(), out);
    return failed == std::errc{} ? std::min(out, max) : 0;
}

} // namespace

http_request encode_forwarded(const caller_request& request, const forwarding_head& head,
                              milliseconds time_left)
{
    auto out = make_upstream_message(request.message);
    out.set(from_field, head.from.value);
    out.set(hops_field, std::to_string(head.hops_left));
    out.erase(server_field);
    if (!head.server.empty()) {
        out.set(server_field, head.server.value);
    }
    out.erase(digest_field);
    if (head.digest) {
        out.set(digest_field, to_text(*head.digest));
    }
    out.erase(counted_field);
    if (!head.counted.empty()) {
        out.set(counted_field, head.counted);
    }
    out.erase(service_field);
    if (!head.service.empty()) {
        out.set(service_field, head.service.value);
    }
    out.set(configuration_field, std::to_string(head.configuration));
    platform::encode_time_left(out, time_left);
    return out;
}

std::optional<forwarding_head> take_forwarding_head(http_request& message)
{
    auto from = take_field(message, from_field);
    const auto hops = bounded_number(take_field(message, hops_field), max_hops);
    auto server = take_field(message, server_field);
    const auto digest = parse_request_digest(take_field(message, digest_field));
    auto counted = take_field(message, counted_field);
    auto service = take_field(message, service_field);
    const auto configuration = bounded_number(take_field(message, configuration_field),
                                              std::numeric_limits<std::uint64_t>::max());
    if (from.empty()) {
        return std::nullopt;
    }
    return forwarding_head{.from = {std::move(from)},
                           .hops_left = hops,
                           .server = {std::move(server)},
                           .digest = digest,
                           .counted = std::move(counted),
                           .service = {std::move(service)},
                           .configuration = configuration};
}

http_response encode_forwarded_answer(request_outcome outcome, const std::string& request_id,
                                      const backend_server_id& server)
{
    http_response out;
    if (const auto* refusal = std::get_if<host_refusal>(&outcome)) {
        out = platform::encode_refusal(refusal->kind, refusal->retry_after);
        out.set(refusal_field, name_of(refusal->kind));
        out.set(retry_after_field, std::to_string(refusal->retry_after.count()));
    }
    else {
        auto& from = std::get<http_response>(outcome);
        static_cast<http::fields&>(out) = end_to_end_fields(from);
        out.result(from.result_int());
        out.reason(from.reason());
        out.body() = std::move(from.body());
        out.erase(refusal_field);
        out.erase(retry_after_field);
    }
    out.erase(server_field);
    if (!server.empty()) {
        out.set(server_field, server.value);
    }
    platform::encode_answered_request(out, request_id);
    return out;
}

forwarded_answer_head take_forwarded_answer_head(http_response& answer)
{
    forwarded_answer_head out;
    out.server = {take_field(answer, server_field)};
    const auto kind = take_field(answer, refusal_field);
    const auto retry_after =
        bounded_number(take_field(answer, retry_after_field), max_retry_after_ms);
    if (!kind.empty()) {
        out.refusal =
            host_refusal{.kind = find_error_kind(kind).value_or(error_kind::outcome_unknown),
                         .retry_after = milliseconds{retry_after}};
    }
    return out;
}

} // namespace figreach::direct
