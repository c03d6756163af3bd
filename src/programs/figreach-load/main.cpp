// Load generator. Thin first version: one connection, a fixed number of requests, one after
// another.

#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/request_head.h"
#include "figreach/runtime/connection_pool.h"

namespace http = boost::beast::http;

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "figreach-load ADDRESS SERVICE COUNT\n";
        return 2;
    }
    boost::asio::io_context io;
    boost::beast::tcp_stream stream{io};
    stream.connect(figreach::to_endpoint(argv[1]));
    boost::beast::flat_buffer buffer;
    int wrong = 0;
    const int count = std::atoi(argv[3]);
    for (int i = 0; i < count; ++i) {
        http::request<http::string_body> request{http::verb::get, "/plan", 11};
        const auto key = "key-" + std::to_string(i);
        request.set(http::field::host, argv[1]);
        request.set(figreach::field::service, argv[2]);
        request.set(figreach::field::key, key);
        request.set(figreach::field::request_id, std::to_string(i));
        http::write(stream, request);
        http::response<http::string_body> answer;
        http::read(stream, buffer, answer);
        const bool right = answer.result_int() == 200 &&
                           answer.body().find("\"" + key + "\"") != std::string::npos;
        if (!right && ++wrong < 10) {
            std::cout << answer << '\n';
        }
    }
    std::cout << count - wrong << " of " << count << " answered\n";
    return wrong == 0 ? 0 : 1;
}
