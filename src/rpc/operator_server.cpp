#include "figreach/rpc/operator_server.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <grpcpp/grpcpp.h>

#include "figreach/configuration_change.h"
#include "figreach/description_diff.h"
#include "figreach/description_parser.h"
#include "figreach/document_codec.h"
#include "figreach/history.h"
#include "figreach/operator_token.h"
#include "figreach/rpc/etcd_client.h"
#include "figreach/rpc/operator_wire.h"
#include "figreach/status_advice.h"
#include "operator.grpc.pb.h"

namespace figreach {

namespace wire = operators::v1;

namespace {

constexpr milliseconds store_timeout{1000};
constexpr milliseconds min_store_timeout{10};
constexpr milliseconds max_change_duration{30000};
/// Subtracted from the operator's deadline, so that the answer still arrives in time.
constexpr milliseconds answer_margin{250};
constexpr milliseconds watch_interval{200};
constexpr milliseconds shutdown_timeout{1000};
constexpr int max_watches = 16;

std::string read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        throw std::runtime_error{path + ": cannot be read"};
    }
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::shared_ptr<grpc::ServerCredentials> credentials_of(const operator_settings& settings)
{
    if (settings.tls_certificate.empty()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back(
        {read_file(settings.tls_key), read_file(settings.tls_certificate)});
    if (!settings.tls_client_ca.empty()) {
        options.pem_root_certs = read_file(settings.tls_client_ca);
        options.client_certificate_request =
            GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY;
    }
    return grpc::SslServerCredentials(options);
}

/// Common name in the client's verified certificate; empty without a certificate.
std::string certified_name(const grpc::ServerContext& context)
{
    const auto identity = context.auth_context();
    if (!identity || !identity->IsPeerAuthenticated()) {
        return {};
    }
    const auto names = identity->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
    return names.empty() ? "unnamed" : std::string{names.front().data(), names.front().size()};
}

std::string authorization_of(const grpc::ServerContext& context)
{
    const auto& fields = context.client_metadata();
    const auto found = fields.find("authorization");
    return found == fields.end() ? std::string{}
                                 : std::string{found->second.data(), found->second.size()};
}

monotonic_time deadline_of(const grpc::ServerContext& context)
{
    const auto left = context.deadline() - std::chrono::system_clock::now();
    const auto bounded = std::min<std::chrono::system_clock::duration>(left, max_change_duration);
    return monotonic_time::clock::now() +
           std::chrono::duration_cast<monotonic_time::duration>(bounded) - answer_margin;
}

std::string new_writer_id(const host_id& host)
{
    std::random_device source;
    std::ostringstream out;
    out << host.value << std::hex;
    for (int i = 0; i < 4; ++i) {
        out << '-' << source();
    }
    return out.str();
}

service_state to_state(bool in)
{
    return in ? service_state::in : service_state::out;
}

} // namespace

class operator_server::service final : public wire::Operator::Service {
public:
    service(operator_settings settings_, const published_routes& routes_, operator_hooks hooks_)
        : settings{std::move(settings_)},
          routes{routes_},
          hooks{std::move(hooks_)},
          store{this->settings.store_address}
    {
        grpc::ServerBuilder builder;
        // With SO_REUSEPORT, which gRPC sets by default, a second process could listen on the same
        // address unnoticed.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(this->settings.address, credentials_of(this->settings));
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        if (!this->server) {
            throw std::runtime_error{"cannot listen for operators at " + this->settings.address};
        }
    }

    ~service() override
    {
        this->stopping = true;
        this->server->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
        this->server->Wait();
    }

    grpc::Status Apply(grpc::ServerContext* context, const wire::ApplyRequest* request,
                       wire::ApplyAnswer* answer) override
    {
        const replace_description edit{.toml = request->description_toml(),
                                       .based_on = request->based_on_version()};
        return this->change(*context, edit, *request, request->dry_run(), *answer);
    }

    grpc::Status Domain(grpc::ServerContext* context, const wire::DomainRequest* request,
                        wire::ApplyAnswer* answer) override
    {
        const set_domain_state edit{.name = {request->failure_domain()},
                                    .state = to_state(request->in())};
        return this->change(*context, edit, *request, false, *answer);
    }

    grpc::Status Server(grpc::ServerContext* context, const wire::ServerRequest* request,
                        wire::ApplyAnswer* answer) override
    {
        const set_server_state edit{.name = {request->backend_server()},
                                    .state = to_state(!request->drain())};
        return this->change(*context, edit, *request, false, *answer);
    }

    grpc::Status Get(grpc::ServerContext*, const wire::GetRequest* request,
                     wire::GetAnswer* answer) override
    {
        description_history history;
        auto status = this->read_history(history);
        const auto* record = this->record_of(history, request->version());
        if (status.ok() && record != nullptr) {
            answer->set_found(true);
            answer->set_version(record->version);
            answer->set_description_toml(record->toml);
        }
        return status;
    }

    grpc::Status History(grpc::ServerContext*, const wire::HistoryRequest*,
                         wire::HistoryAnswer* answer) override
    {
        description_history history;
        auto status = this->read_history(history);
        for (const auto& record : history) {
            *answer->add_entries() = to_wire(record);
        }
        return status;
    }

    grpc::Status Diff(grpc::ServerContext*, const wire::DiffRequest* request,
                      wire::DiffAnswer* answer) override
    {
        const auto submitted = parse_description(request->description_toml(), "description");
        fill(*answer->mutable_faults(), submitted.faults);
        description_history history;
        auto status = this->read_history(history);
        const auto* record = this->record_of(history, request->against_version());
        if (!status.ok() || record == nullptr) {
            return status;
        }
        const auto present = parse_description(record->toml, "stored");
        answer->set_found(true);
        answer->set_version(record->version);
        if (submitted.faults.empty()) {
            fill(*answer->mutable_changes(), description_diff(present.value, submitted.value));
        }
        return status;
    }

    grpc::Status Status(grpc::ServerContext*, const wire::StatusRequest*,
                        wire::StatusAnswer* answer) override
    {
        description_history history;
        const auto store_status = this->read_history(history);
        const auto routing = this->routing();
        answer->set_answered_by(this->settings.host.value);
        answer->set_store_reachable(store_status.ok());
        answer->set_store_detail(store_status.error_message());
        if (routing && routing->system_description) {
            this->fill_routing(*routing, *answer);
        }
        fill(*answer->mutable_advice(), status_advice({.store_reachable = store_status.ok(),
                                                       .stored_version = version_in_force(history),
                                                       .routing = routing.get()}));
        return grpc::Status::OK;
    }

    grpc::Status Explain(grpc::ServerContext*, const wire::ExplainRequest* request,
                         wire::ExplainAnswer* answer) override
    {
        const auto routing = this->routing();
        *answer = explain(routing.get(), *request);
        return grpc::Status::OK;
    }

    grpc::Status Watch(grpc::ServerContext* context, const wire::WatchRequest*,
                       grpc::ServerWriter<wire::WatchEvent>* out) override
    {
        const watch_slot slot{this->watches};
        if (slot.count > max_watches) {
            return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many watches at this entry host"};
        }
        std::optional<std::string> last;
        while (!this->stopping && !context->IsCancelled()) {
            const auto event = this->watch_event();
            auto bytes = event.SerializeAsString();
            if (bytes != last && !out->Write(event)) {
                break;
            }
            last = std::move(bytes);
            std::this_thread::sleep_for(watch_interval);
        }
        return grpc::Status::OK;
    }

private:
    /// Counts an active watch during its lifetime.
    struct watch_slot {
        explicit watch_slot(std::atomic<int>& total_) : total{total_}, count{++total_} {}
        ~watch_slot() { --this->total; }
        watch_slot(const watch_slot&) = delete;
        watch_slot& operator=(const watch_slot&) = delete;

        std::atomic<int>& total;
        int count;
    };

    template <class Request>
    grpc::Status change(const grpc::ServerContext& context, configuration_edit edit,
                        const Request& request, bool dry_run, wire::ApplyAnswer& answer)
    {
        auto refusal = this->refusal_of(context);
        if (!refusal.ok()) {
            return refusal;
        }
        change_request what;
        what.edit = std::move(edit);
        what.writer = new_writer_id(this->settings.host);
        what.changed_by = this->author_of(context, request.changed_by());
        what.reason = request.reason();
        what.requested_at = calendar_time::clock::now();
        what.deadline = deadline_of(context);
        what.force = request.force();
        what.dry_run = dry_run;
        what.load = this->hooks.present_load ? this->hooks.present_load() : service_load{};
        const auto done = this->execute(std::move(what));
        answer = to_wire(done);
        this->announce(done);
        return grpc::Status::OK;
    }

    [[nodiscard]] grpc::Status refusal_of(const grpc::ServerContext& context) const
    {
        const bool certified = !certified_name(context).empty();
        if (certified || has_bearer_token(authorization_of(context), this->settings.token)) {
            return grpc::Status::OK;
        }
        const bool configured =
            !this->settings.token.empty() || !this->settings.tls_client_ca.empty();
        return {grpc::StatusCode::UNAUTHENTICATED,
                configured ? "a change needs the operators' token or certificate"
                           : "this entry host serves reads only: its settings name no "
                             "operator_token and no tls_client_ca"};
    }

    /// The author for the audit trail. A name from a certificate is verified; the name given by a
    /// token holder is not, so the suffix tells them apart.
    [[nodiscard]] std::string author_of(const grpc::ServerContext& context,
                                        const std::string& stated) const
    {
        const auto proved = certified_name(context);
        const auto name = stated.empty() ? std::string{"unnamed"} : stated;
        return proved.empty() ? name + " (token)" : proved + " (certificate)";
    }

    change_answer execute(change_request what)
    {
        configuration_change change{std::move(what)};
        auto step = change.start(monotonic_time::clock::now());
        while (const auto* next = std::get_if<change_call>(&step)) {
            std::this_thread::sleep_until(next->not_before);
            const auto now = monotonic_time::clock::now();
            const auto left = std::chrono::duration_cast<milliseconds>(next->deadline - now);
            const auto result =
                this->store.call(next->call, std::clamp(left, min_store_timeout, store_timeout));
            step = change.on_answer(result, monotonic_time::clock::now());
        }
        return std::get<change_answer>(std::move(step));
    }

    void announce(const change_answer& done)
    {
        if (done.accepted && this->hooks.on_accepted) {
            const std::lock_guard lock{this->announce_mutex};
            this->hooks.on_accepted(*done.accepted);
        }
    }

    grpc::Status read_history(description_history& out)
    {
        const auto read = this->store.call(read_key{std::string{description_key}}, store_timeout);
        const auto* found = std::get_if<store_read>(&read);
        if (found == nullptr) {
            return {grpc::StatusCode::UNAVAILABLE, "the platform's store does not answer"};
        }
        const auto value = found->values.empty() ? std::string{} : found->values.front().value;
        auto history = decode_history(value);
        if (!history) {
            return {grpc::StatusCode::DATA_LOSS, "the history in the store is damaged"};
        }
        out = std::move(*history);
        return grpc::Status::OK;
    }

    /// The record of a version (0: the newest), or null.
    [[nodiscard]] static const description_record* record_of(const description_history& history,
                                                             std::uint64_t version)
    {
        return find_version(history, version == 0 ? version_in_force(history) : version);
    }

    /// The current routes. The description versions of other hosts are as last reported by them;
    /// the version of this host is taken from its own snapshot.
    [[nodiscard]] std::shared_ptr<const routing_snapshot> routing() const
    {
        std::shared_ptr<const routing_snapshot> present;
        std::uint64_t seen = 0;
        this->routes.refresh(present, seen);
        if (!present || !present->system_description) {
            return present;
        }
        auto out = std::make_shared<routing_snapshot>(*present);
        for (auto& host : out->hosts) {
            const bool self = host.host == this->settings.host;
            host.description_version =
                self ? present->system_description->version : host.description_version;
        }
        return out;
    }

    static void fill_routing(const routing_snapshot& routing, wire::StatusAnswer& out)
    {
        out.set_description_version(routing.system_description->version);
        for (const auto& host : routing.hosts) {
            *out.add_hosts() = to_wire(host);
        }
        for (const auto& server : routing.system_description->backend_servers) {
            *out.add_servers() = to_wire(server, routing);
        }
    }

    [[nodiscard]] wire::WatchEvent watch_event() const
    {
        wire::WatchEvent out;
        const auto present = this->routing();
        if (present && present->system_description) {
            out.set_version(present->system_description->version);
            for (const auto& host : present->hosts) {
                *out.add_hosts() = to_wire(host);
            }
        }
        return out;
    }

    operator_settings settings;
    const published_routes& routes;
    operator_hooks hooks;
    etcd_client store;
    std::mutex announce_mutex;
    std::atomic<int> watches{0};
    std::atomic<bool> stopping{false};
    std::unique_ptr<grpc::Server> server;
};

operator_server::operator_server(const operator_settings& settings, const published_routes& routes,
                                 operator_hooks hooks)
    : calls{std::make_unique<service>(settings, routes, std::move(hooks))}
{
}

operator_server::~operator_server() = default;

} // namespace figreach
