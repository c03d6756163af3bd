// The operators' command line.

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>
#include <grpcpp/grpcpp.h>

#include "operator.grpc.pb.h"

namespace options = boost::program_options;
namespace wire = figreach::operators::v1;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;

std::string read_file(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

int apply(wire::Operator::Stub& host, const std::string& file, std::uint64_t based_on)
{
    wire::ApplyRequest request;
    request.set_description_toml(read_file(file));
    request.set_based_on_version(based_on);
    wire::ApplyAnswer answer;
    grpc::ClientContext context;
    const auto status = host.Apply(&context, request, &answer);
    if (!status.ok()) {
        std::cerr << "figreachctl: " << status.error_message() << '\n';
        return exit_unreachable;
    }
    std::cout << wire::ApplyAnswer::Outcome_Name(answer.outcome()) << " version "
              << answer.version() << '\n';
    for (const auto& fault : answer.faults()) {
        std::cout << fault.place() << ": found " << fault.found()
                  << "; allowed: " << fault.allowed() << '\n';
    }
    return answer.outcome() == wire::ApplyAnswer::ACCEPTED ? exit_ok : exit_refused;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        options::options_description described{"figreachctl --host ADDRESS apply FILE\n\nOptions"};
        auto add = described.add_options();
        add("help", "print this text");
        add("host", options::value<std::string>()->default_value("127.0.0.1:7400"),
            "operators' address of any entry host");
        add("based-on", options::value<std::uint64_t>()->default_value(0), "version read before");
        add("verb", options::value<std::string>(), "apply");
        add("argument", options::value<std::string>(), "FILE");
        options::positional_options_description positions;
        positions.add("verb", 1).add("argument", 1);
        options::variables_map given;
        options::store(
            options::command_line_parser(argc, argv).options(described).positional(positions).run(),
            given);
        if (given.contains("help") || !given.contains("verb") || !given.contains("argument")) {
            std::cout << described;
            return given.contains("help") ? exit_ok : exit_usage;
        }
        const auto channel = grpc::CreateChannel(given["host"].as<std::string>(),
                                                 grpc::InsecureChannelCredentials());
        const auto host = wire::Operator::NewStub(channel);
        return apply(*host, given["argument"].as<std::string>(),
                     given["based-on"].as<std::uint64_t>());
    }
    catch (const options::error& error) {
        std::cerr << "figreachctl: " << error.what() << '\n';
        return exit_usage;
    }
}
