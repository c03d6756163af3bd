#include "figreach/request_head.h"

#include <algorithm>
#include <charconv>

namespace figreach {

namespace {

std::optional<milliseconds> parse_deadline(const std::string& text)
{
    std::int64_t count = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, count);
    if (failed != std::errc{} || stop != end || count < 0) {
        return std::nullopt;
    }
    return milliseconds{count};
}

bool is_idempotent(const service& target, const std::string& method)
{
    const auto& methods = target.idempotent_methods;
    return std::ranges::find(methods, method) != methods.end();
}

const tenant* find_tenant(const request_head& head, const service& target, const description& all)
{
    const tenant_id name = head.tenant.empty() ? target.tenant : tenant_id{head.tenant};
    const auto found = std::ranges::find(all.tenants, name, &tenant::name);
    return found == all.tenants.end() ? nullptr : &*found;
}

/// The class named in the request, or the service's first class if none is named. Null if the
/// class is unknown.
const request_class* find_class(const request_head& head, const service& target)
{
    static const request_class default_class{};
    if (head.request_class.empty()) {
        return target.classes.empty() ? &default_class : &target.classes.front();
    }
    const auto found =
        std::ranges::find(target.classes, class_id{head.request_class}, &request_class::name);
    return found == target.classes.end() ? nullptr : &*found;
}

} // namespace

std::variant<checked_request, error_kind> check_request(const request_head& head,
                                                        const description& all)
{
    if (head.service.empty()) {
        return error_kind::missing_service;
    }
    checked_request out;
    out.target = find_service(all, {head.service});
    if (out.target == nullptr) {
        return error_kind::unknown_service;
    }
    if (head.key.empty() && out.target->divided_by_key) {
        return error_kind::missing_key;
    }
    out.billed_tenant = find_tenant(head, *out.target, all);
    if (out.billed_tenant == nullptr) {
        return error_kind::unknown_tenant;
    }
    const auto* found_class = find_class(head, *out.target);
    if (found_class == nullptr) {
        return error_kind::unknown_class;
    }
    out.allowed = out.target->default_deadline;
    if (!head.deadline_ms.empty()) {
        const auto requested = parse_deadline(head.deadline_ms);
        if (!requested) {
            return error_kind::malformed_deadline;
        }
        out.allowed = std::min(*requested, out.target->longest_deadline);
    }
    if (out.allowed <= milliseconds{0}) {
        return error_kind::deadline_expired;
    }
    out.key = head.key;
    out.request_class = found_class->name;
    out.shed_order = found_class->shed_order;
    out.idempotent = is_idempotent(*out.target, head.method);
    out.idempotency_key = head.idempotency_key;
    out.first_attempt = head.attempt == "1";
    out.hops = head.hops;
    return out;
}

} // namespace figreach
