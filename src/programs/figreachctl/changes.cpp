// Verbs that change the description: apply, domain, server.

#include <iostream>

#include <thread>

#include "exit_code.h"
#include "figreach/version_line.h"
#include "output.h"
#include "verb.h"

namespace figreachctl {

namespace {

constexpr figreach::milliseconds change_timeout{15000};
constexpr figreach::milliseconds read_timeout{5000};
constexpr figreach::milliseconds wait_interval{200};

int exit_code_for(wire::ApplyAnswer::Outcome outcome)
{
    switch (outcome) {
    case wire::ApplyAnswer::ACCEPTED:
    case wire::ApplyAnswer::CHECKED:
    case wire::ApplyAnswer::UNCHANGED:
        return exit_ok;
    case wire::ApplyAnswer::CONFLICT:
        return exit_conflict;
    case wire::ApplyAnswer::DANGEROUS:
        return exit_dangerous;
    case wire::ApplyAnswer::INVALID:
    case wire::ApplyAnswer::NOT_ACCEPTED:
        return exit_refused;
    default:
        return exit_unknown;
    }
}

/// Reports a failed call. The change may have taken effect, unless the entry host rejected the
/// credentials.
int report_failure(const grpc::Status& status)
{
    std::cerr << "figreachctl: " << status.error_message() << '\n';
    if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
        return exit_refused;
    }
    std::cerr
        << "figreachctl: the response of the entry host was lost; the change may be in force. "
           "Check the history before repeating it.\n";
    return exit_unknown;
}

/// Entry hosts, alive or suspect, that have a lower version in force.
std::vector<std::string> hosts_behind(const wire::StatusAnswer& status, std::uint64_t version)
{
    std::vector<std::string> out;
    for (const auto& host : status.hosts()) {
        const bool counts = host.state() == "alive" || host.state() == "suspect";
        if (counts && host.description_version() < version) {
            out.push_back(host.host() + " (version " + std::to_string(host.description_version()) +
                          (host.state() == "alive" ? ")" : ", not heard from)"));
        }
    }
    if (status.hosts().empty()) {
        out.push_back(status.answered_by() + " (no description yet)");
    }
    return out;
}

int wait_for_hosts(const connection& hosts, std::uint64_t version, std::chrono::seconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    auto behind = std::vector<std::string>{"(no entry host answered)"};
    while (std::chrono::steady_clock::now() < until) {
        grpc::ClientContext context;
        hosts.prepare(context, read_timeout);
        wire::StatusAnswer status;
        if (hosts.host().Status(&context, {}, &status).ok()) {
            behind = hosts_behind(status, version);
        }
        if (behind.empty()) {
            std::cerr << "In force at every live entry host.\n";
            return exit_ok;
        }
        std::this_thread::sleep_for(wait_interval);
    }
    std::cerr << "Accepted, but not yet in force at:\n";
    for (const auto& host : behind) {
        std::cerr << "  " << host << '\n';
    }
    return exit_lagging;
}

int report(const verb_call& call, const connection& hosts, const grpc::Status& status,
           const wire::ApplyAnswer& answer)
{
    if (!status.ok()) {
        return report_failure(status);
    }
    if (call.json) {
        print_json(answer);
    }
    else {
        print(answer);
    }
    const auto code = exit_code_for(answer.outcome());
    const bool in_history = answer.outcome() == wire::ApplyAnswer::ACCEPTED ||
                            answer.outcome() == wire::ApplyAnswer::UNCHANGED;
    if (!in_history || !call.options.contains("wait")) {
        return code;
    }
    const std::chrono::seconds limit{call.options["wait-seconds"].as<unsigned>()};
    return wait_for_hosts(hosts, answer.version(), limit);
}

template <class Request>
void set_common_fields(Request& request, const verb_call& call)
{
    request.set_changed_by(call.options["by"].as<std::string>());
    request.set_reason(call.options["reason"].as<std::string>());
    request.set_force(call.options.contains("force"));
}

std::uint64_t base_version(const verb_call& call, const std::string& text)
{
    if (call.options.contains("based-on")) {
        return call.options["based-on"].as<std::uint64_t>();
    }
    const auto version = figreach::read_version_line(text);
    if (!version) {
        throw usage_error{"the file does not say which version it is based on: begin it with "
                          "'# version: N', as written by get, or give --based-on N (0 for the "
                          "first description)"};
    }
    return *version;
}

bool parse_choice(const verb_call& call, const std::string& yes, const std::string& no)
{
    const auto& word = call.arguments[0];
    if (word != yes && word != no) {
        throw usage_error{"found '" + word + "'; allowed: " + yes + " | " + no};
    }
    return word == yes;
}

} // namespace

int run_apply(const verb_call& call)
{
    const auto text = read_file(call.arguments[0]);
    wire::ApplyRequest request;
    request.set_based_on_version(base_version(call, text));
    request.set_description_toml(figreach::without_version_line(text));
    request.set_dry_run(call.options.contains("dry-run"));
    set_common_fields(request, call);
    const connection hosts{call.target};
    grpc::ClientContext context;
    hosts.prepare(context, change_timeout);
    wire::ApplyAnswer answer;
    const auto status = hosts.host().Apply(&context, request, &answer);
    return report(call, hosts, status, answer);
}

int run_domain(const verb_call& call)
{
    wire::DomainRequest request;
    request.set_in(parse_choice(call, "in", "out"));
    request.set_failure_domain(call.arguments[1]);
    set_common_fields(request, call);
    const connection hosts{call.target};
    grpc::ClientContext context;
    hosts.prepare(context, change_timeout);
    wire::ApplyAnswer answer;
    const auto status = hosts.host().Domain(&context, request, &answer);
    return report(call, hosts, status, answer);
}

int run_server(const verb_call& call)
{
    wire::ServerRequest request;
    request.set_drain(parse_choice(call, "drain", "undrain"));
    request.set_backend_server(call.arguments[1]);
    set_common_fields(request, call);
    const connection hosts{call.target};
    grpc::ClientContext context;
    hosts.prepare(context, change_timeout);
    wire::ApplyAnswer answer;
    const auto status = hosts.host().Server(&context, request, &answer);
    return report(call, hosts, status, answer);
}

} // namespace figreachctl
