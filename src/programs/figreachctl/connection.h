#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <grpcpp/grpcpp.h>

#include "figreach/time.h"
#include "operator.grpc.pb.h"

namespace figreachctl {

namespace wire = figreach::operators::v1;

/// Addresses of the entry hosts and credentials of the operator.
struct connection_options {
    std::vector<std::string> hosts; ///< tried in this order
    std::string token_file;
    std::string tls_ca;
    std::string tls_certificate;
    std::string tls_key;
    std::string tls_name; ///< name in the host's certificate; empty: its IP address
};

/// No entry host could be reached.
class unreachable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A file named on the command line cannot be read.
class unreadable_file : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the content of a file. Throws unreadable_file.
[[nodiscard]] std::string read_file(const std::string& path);

/// Connection to the operator RPC of the first entry host that can be reached.
class connection {
public:
    /// Throws unreachable or unreadable_file.
    explicit connection(const connection_options& options);

    /// Sets the deadline of a call, none if `timeout` is the maximum, and adds the token if there
    /// is one.
    void prepare(grpc::ClientContext& context, figreach::milliseconds timeout) const;

    [[nodiscard]] wire::Operator::Stub& host() const { return *this->stub; }

private:
    std::string token;
    std::unique_ptr<wire::Operator::Stub> stub;
};

} // namespace figreachctl
