#include "connection.h"

#include <fstream>
#include <sstream>

namespace figreachctl {

namespace {

constexpr figreach::milliseconds connect_timeout{2000};

std::string first_line(const std::string& text)
{
    return text.substr(0, text.find_first_of("\r\n"));
}

std::shared_ptr<grpc::ChannelCredentials> credentials_of(const connection_options& options)
{
    if (options.tls_ca.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions tls;
    tls.pem_root_certs = read_file(options.tls_ca);
    if (!options.tls_certificate.empty()) {
        tls.pem_cert_chain = read_file(options.tls_certificate);
        tls.pem_private_key = read_file(options.tls_key);
    }
    return grpc::SslCredentials(tls);
}

std::shared_ptr<grpc::Channel> first_reachable(const connection_options& options)
{
    const auto credentials = credentials_of(options);
    grpc::ChannelArguments arguments;
    if (!options.tls_name.empty()) {
        arguments.SetSslTargetNameOverride(options.tls_name);
    }
    std::string tried;
    for (const auto& host : options.hosts) {
        auto channel = grpc::CreateCustomChannel(host, credentials, arguments);
        if (channel->WaitForConnected(std::chrono::system_clock::now() + connect_timeout)) {
            return channel;
        }
        tried += " " + host;
    }
    throw unreachable{"no entry host answers; tried:" + tried};
}

} // namespace

std::string read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        throw unreadable_file{path + ": cannot be read"};
    }
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

connection::connection(const connection_options& options)
    : token{options.token_file.empty() ? std::string{} : first_line(read_file(options.token_file))},
      stub{wire::Operator::NewStub(first_reachable(options))}
{
}

void connection::prepare(grpc::ClientContext& context, figreach::milliseconds timeout) const
{
    if (timeout != figreach::milliseconds::max()) {
        context.set_deadline(std::chrono::system_clock::now() + timeout);
    }
    if (!this->token.empty()) {
        context.AddMetadata("authorization", "Bearer " + this->token);
    }
}

} // namespace figreachctl
