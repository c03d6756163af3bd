#include "figreach/rpc/operator_server.h"

#include <stdexcept>

#include <grpcpp/grpcpp.h>

#include "figreach/description_parser.h"
#include "figreach/document_codec.h"
#include "operator.grpc.pb.h"

namespace figreach {

namespace wire = operators::v1;

namespace {

constexpr milliseconds store_timeout{2000};
constexpr std::size_t longest_history = 64;

void fill(wire::ApplyAnswer& out, const fault_list& faults)
{
    for (const auto& one : faults) {
        auto* item = out.add_faults();
        item->set_place(one.file + ":" + std::to_string(one.line) + " " + one.key);
        item->set_found(one.found);
        item->set_allowed(one.allowed);
    }
}

} // namespace

class operator_server::service final : public wire::Operator::Service {
public:
    service(const std::string& address, const std::string& store_address) : store{store_address}
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        if (!this->server) {
            throw std::runtime_error{"cannot listen for operators at " + address};
        }
    }

    grpc::Status Apply(grpc::ServerContext*, const wire::ApplyRequest* request,
                       wire::ApplyAnswer* answer) override
    {
        const auto parsed = parse_description(request->description_toml(), "description");
        if (!parsed.faults.empty()) {
            answer->set_outcome(wire::ApplyAnswer::INVALID);
            fill(*answer, parsed.faults);
            return grpc::Status::OK;
        }
        this->write(*request, *answer);
        return grpc::Status::OK;
    }

private:
    void write(const wire::ApplyRequest& request, wire::ApplyAnswer& answer)
    {
        const auto read = this->store.call(read_key{std::string{description_key}}, store_timeout);
        const auto* found = std::get_if<store_read>(&read);
        if (found == nullptr) {
            answer.set_outcome(wire::ApplyAnswer::NOT_ACCEPTED);
            return;
        }
        const auto present = found->values.empty() ? stored_value{} : found->values.front();
        auto history = decode_history(present.value).value_or(description_history{});
        const auto version = history.empty() ? 0 : history.back().version;
        if (version != request.based_on_version()) {
            answer.set_outcome(wire::ApplyAnswer::CONFLICT);
            answer.set_version(version);
            return;
        }
        history.push_back({.version = version + 1,
                           .writer = {},
                           .changed_by = request.changed_by(),
                           .reason = request.reason(),
                           .changed_at = calendar_time::clock::now(),
                           .toml = request.description_toml()});
        if (history.size() > longest_history) {
            history.erase(history.begin());
        }
        const auto written =
            this->store.call(compare_and_swap{.key = std::string{description_key},
                                              .expected_revision = present.revision,
                                              .value = encode(history)},
                             store_timeout);
        const bool done = std::holds_alternative<store_written>(written);
        answer.set_outcome(done ? wire::ApplyAnswer::ACCEPTED : wire::ApplyAnswer::UNKNOWN);
        answer.set_version(version + 1);
    }

    etcd_client store;
    std::unique_ptr<grpc::Server> server;
};

operator_server::operator_server(const std::string& address, const std::string& store_address)
    : calls{std::make_unique<service>(address, store_address)}
{
}

operator_server::~operator_server() = default;

} // namespace figreach
