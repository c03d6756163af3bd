// Verbs that only read: get, diff, history, status, explain, watch.

#include <iostream>

#include "exit_code.h"
#include "figreach/version_line.h"
#include "output.h"
#include "verb.h"

namespace figreachctl {

namespace {

constexpr figreach::milliseconds read_timeout{5000};

int report_failure(const grpc::Status& status)
{
    std::cerr << "figreachctl: " << status.error_message() << '\n';
    return status.error_code() == grpc::StatusCode::UNAUTHENTICATED ? exit_refused
                                                                    : exit_unreachable;
}

/// Calls one method. False if the call fails; `code` is then the exit code.
template <class Request, class Answer>
bool call_method(const verb_call& call,
                 grpc::Status (wire::Operator::Stub::*method)(grpc::ClientContext*, const Request&,
                                                              Answer*),
                 const Request& request, Answer& answer, int& code)
{
    const connection hosts{call.target};
    grpc::ClientContext context;
    hosts.prepare(context, read_timeout);
    const auto status = (hosts.host().*method)(&context, request, &answer);
    code = status.ok() ? exit_ok : report_failure(status);
    return status.ok();
}

template <class Request, class Answer>
int call_and_print(const verb_call& call,
                   grpc::Status (wire::Operator::Stub::*method)(grpc::ClientContext*,
                                                                const Request&, Answer*),
                   const Request& request, Answer& answer)
{
    int code = exit_ok;
    if (!call_method(call, method, request, answer, code)) {
        return code;
    }
    if (call.json) {
        print_json(answer);
    }
    else {
        print(answer);
    }
    return code;
}

int report_missing_version(std::uint64_t version)
{
    std::cerr << "figreachctl: "
              << (version == 0 ? std::string{"no description was applied yet"}
                               : "version " + std::to_string(version) + " is not in the history")
              << '\n';
    return exit_refused;
}

} // namespace

int run_get(const verb_call& call)
{
    wire::GetRequest request;
    request.set_version(call.options["version"].as<std::uint64_t>());
    wire::GetAnswer answer;
    int code = exit_ok;
    if (!call_method(call, &wire::Operator::Stub::Get, request, answer, code)) {
        return code;
    }
    if (call.json) {
        print_json(answer);
        return answer.found() ? exit_ok : exit_refused;
    }
    if (!answer.found()) {
        return report_missing_version(request.version());
    }
    std::cout << figreach::version_line(answer.version()) << answer.description_toml();
    return exit_ok;
}

int run_diff(const verb_call& call)
{
    wire::DiffRequest request;
    request.set_description_toml(figreach::without_version_line(read_file(call.arguments[0])));
    request.set_against_version(call.options["version"].as<std::uint64_t>());
    wire::DiffAnswer answer;
    const int code = call_and_print(call, &wire::Operator::Stub::Diff, request, answer);
    if (code == exit_ok && !answer.found()) {
        return report_missing_version(request.against_version());
    }
    return code == exit_ok && !answer.faults().empty() ? exit_refused : code;
}

int run_history(const verb_call& call)
{
    wire::HistoryAnswer answer;
    return call_and_print(call, &wire::Operator::Stub::History, wire::HistoryRequest{}, answer);
}

int run_status(const verb_call& call)
{
    wire::StatusAnswer answer;
    return call_and_print(call, &wire::Operator::Stub::Status, wire::StatusRequest{}, answer);
}

int run_explain(const verb_call& call)
{
    wire::ExplainRequest request;
    request.set_service(call.arguments[0]);
    request.set_key(call.arguments[1]);
    wire::ExplainAnswer answer;
    const int code = call_and_print(call, &wire::Operator::Stub::Explain, request, answer);
    return code == exit_ok && !answer.found() ? exit_refused : code;
}

int run_watch(const verb_call& call)
{
    const connection hosts{call.target};
    grpc::ClientContext context;
    hosts.prepare(context, figreach::milliseconds::max());
    const auto stream = hosts.host().Watch(&context, {});
    wire::WatchEvent event;
    while (stream->Read(&event)) {
        if (call.json) {
            print_json(event);
        }
        else {
            print(event);
        }
    }
    const auto status = stream->Finish();
    std::cerr << "figreachctl: the entry host ended the watch: " << status.error_message() << '\n';
    return exit_unreachable;
}

} // namespace figreachctl
