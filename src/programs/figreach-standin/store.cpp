#include "store.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <boost/json.hpp>
#include <grpcpp/grpcpp.h>

#include "etcd.grpc.pb.h"
#include "store_faults.h"
#include "store_state.h"

namespace figreach::standin {

namespace wire = etcdserverpb;
namespace json = boost::json;

namespace {

constexpr milliseconds lease_check_interval{50};
constexpr milliseconds watch_poll_interval{50};
constexpr std::string_view host_list_prefix = "/platform/hosts/";

const grpc::Status unavailable{grpc::StatusCode::UNAVAILABLE, "the store is down"};

/// Counts and delays a call. False if the store is down and must refuse it.
bool admit(store_faults& faults, std::atomic<std::uint64_t>& counter)
{
    counter.fetch_add(1, std::memory_order_relaxed);
    std::this_thread::sleep_for(faults.delay());
    if (faults.down()) {
        faults.refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    return true;
}

/// Status of a write that has been applied: OK, or UNAVAILABLE if its response is to be lost.
grpc::Status write_status(store_faults& faults)
{
    if (!faults.consume_lost_answer()) {
        return grpc::Status::OK;
    }
    faults.lost_answers.fetch_add(1, std::memory_order_relaxed);
    return {grpc::StatusCode::UNAVAILABLE, "the response was lost"};
}

using keep_alive_stream =
    grpc::ServerReaderWriter<wire::LeaseKeepAliveResponse, wire::LeaseKeepAliveRequest>;
using watch_stream = grpc::ServerReaderWriter<wire::WatchResponse, wire::WatchRequest>;

class key_service final : public wire::KV::Service {
public:
    key_service(store_state& state_, store_faults& faults_) : state{state_}, faults{faults_} {}

    grpc::Status Range(grpc::ServerContext*, const wire::RangeRequest* request,
                       wire::RangeResponse* answer) override
    {
        if (!admit(this->faults, this->faults.reads)) {
            return unavailable;
        }
        this->state.range(*request, *answer);
        return grpc::Status::OK;
    }

    grpc::Status Put(grpc::ServerContext*, const wire::PutRequest* request,
                     wire::PutResponse* answer) override
    {
        if (!admit(this->faults, this->faults.writes)) {
            return unavailable;
        }
        this->state.put(*request, *answer);
        return write_status(this->faults);
    }

    grpc::Status DeleteRange(grpc::ServerContext*, const wire::DeleteRangeRequest* request,
                             wire::DeleteRangeResponse* answer) override
    {
        if (!admit(this->faults, this->faults.writes)) {
            return unavailable;
        }
        this->state.remove(*request, *answer);
        return write_status(this->faults);
    }

    grpc::Status Txn(grpc::ServerContext*, const wire::TxnRequest* request,
                     wire::TxnResponse* answer) override
    {
        if (!admit(this->faults, this->faults.writes)) {
            return unavailable;
        }
        this->state.transact(*request, *answer);
        return write_status(this->faults);
    }

private:
    store_state& state;
    store_faults& faults;
};

class lease_service final : public wire::Lease::Service {
public:
    lease_service(store_state& state_, store_faults& faults_) : state{state_}, faults{faults_} {}

    grpc::Status LeaseGrant(grpc::ServerContext*, const wire::LeaseGrantRequest* request,
                            wire::LeaseGrantResponse* answer) override
    {
        if (!admit(this->faults, this->faults.lease_calls)) {
            return unavailable;
        }
        this->state.grant_lease(*request, *answer);
        return write_status(this->faults);
    }

    grpc::Status LeaseRevoke(grpc::ServerContext*, const wire::LeaseRevokeRequest* request,
                             wire::LeaseRevokeResponse*) override
    {
        if (!admit(this->faults, this->faults.lease_calls)) {
            return unavailable;
        }
        this->state.revoke_lease(request->id());
        return write_status(this->faults);
    }

    grpc::Status LeaseKeepAlive(grpc::ServerContext*, keep_alive_stream* stream) override
    {
        wire::LeaseKeepAliveRequest request;
        while (stream->Read(&request)) {
            if (!admit(this->faults, this->faults.lease_calls)) {
                return unavailable;
            }
            wire::LeaseKeepAliveResponse answer;
            answer.set_id(request.id());
            answer.set_ttl(this->state.keep_alive(request.id()));
            stream->Write(answer);
        }
        return grpc::Status::OK;
    }

private:
    store_state& state;
    store_faults& faults;
};

/// Serves one watch per stream, until the stream is closed, the service stops or the store is down.
class watch_service final : public wire::Watch::Service {
public:
    watch_service(store_state& state_, store_faults& faults_) : state{state_}, faults{faults_} {}

    void stop() { this->stopping = true; }

    grpc::Status Watch(grpc::ServerContext* context, watch_stream* stream) override
    {
        wire::WatchRequest request;
        if (!stream->Read(&request) || !request.has_create_request()) {
            return {grpc::StatusCode::INVALID_ARGUMENT,
                    "the first message of a watch must be create_request"};
        }
        this->faults.waiting_watches.fetch_add(1);
        auto status = this->serve(*context, *stream, request.create_request());
        this->faults.waiting_watches.fetch_sub(1);
        return status;
    }

private:
    grpc::Status serve(grpc::ServerContext& context, watch_stream& stream,
                       const wire::WatchCreateRequest& watch)
    {
        wire::WatchResponse created;
        created.set_created(true);
        created.mutable_header()->set_revision(this->state.revision());
        auto from =
            watch.start_revision() > 0 ? watch.start_revision() : created.header().revision() + 1;
        bool open = stream.Write(created);
        while (open && !context.IsCancelled() && !this->stopping) {
            if (this->faults.down()) {
                return unavailable;
            }
            wire::WatchResponse answer;
            from = this->state.wait_events(
                watch, from, monotonic_time::clock::now() + watch_poll_interval, answer);
            open = answer.events_size() == 0 || stream.Write(answer);
        }
        return grpc::Status::OK;
    }

    store_state& state;
    store_faults& faults;
    std::atomic<bool> stopping{false};
};

} // namespace

class store::impl {
public:
    explicit impl(const std::string& address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(&this->keys);
        builder.RegisterService(&this->leases);
        builder.RegisterService(&this->watches);
        this->server = builder.BuildAndStart();
        if (!this->server) {
            throw std::runtime_error{"cannot listen on " + address};
        }
        this->lease_thread = std::thread{[this] { this->run_lease_expiry(); }};
    }

    ~impl()
    {
        this->stopping = true;
        this->watches.stop();
        this->server->Shutdown(std::chrono::system_clock::now() + lease_check_interval);
        if (this->lease_thread.joinable()) {
            this->lease_thread.join();
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    control_answer control(const std::string& method, const std::string& target,
                           const std::string& body)
    {
        if (method == "POST" && target == "/fault") {
            return {.status = this->faults.apply(body) ? 200U : 400U, .body = {}};
        }
        if (method == "GET" && target == "/counts") {
            return {.status = 200, .body = json::serialize(this->counts())};
        }
        if (method == "PUT" && target.starts_with(host_list_prefix)) {
            this->put_host(target, body);
            return {};
        }
        return {.status = 404, .body = {}};
    }

private:
    json::object counts() const
    {
        return {{"reads", this->faults.reads.load()},
                {"writes", this->faults.writes.load()},
                {"lease_calls", this->faults.lease_calls.load()},
                {"refused", this->faults.refused.load()},
                {"lost_answers", this->faults.lost_answers.load()},
                {"waiting_watches", this->faults.waiting_watches.load()}};
    }

    void put_host(const std::string& key, const std::string& value)
    {
        wire::PutRequest request;
        request.set_key(key);
        request.set_value(value);
        wire::PutResponse answer;
        this->state.put(request, answer);
    }

    void run_lease_expiry()
    {
        while (!this->stopping) {
            std::this_thread::sleep_for(lease_check_interval);
            this->state.expire_leases(this->faults.consume_lease_expiry());
        }
    }

    store_state state;
    store_faults faults;
    key_service keys{state, faults};
    lease_service leases{state, faults};
    watch_service watches{state, faults};
    std::unique_ptr<grpc::Server> server;
    std::atomic<bool> stopping{false};
    std::thread lease_thread;
};

store::store(const std::string& address) : server{std::make_unique<impl>(address)} {}

store::~store() = default;

control_answer store::control(const std::string& method, const std::string& target,
                              const std::string& body)
{
    return this->server->control(method, target, body);
}

} // namespace figreach::standin
