#include "sardinerill/gateway/operatorserver.h"

#include "sardinerill/gateway/problem.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <istream>
#include <ostream>
#include <thread>
#include <vector>

namespace sardinerill {

namespace {

constexpr unsigned MinThreads = 2;
constexpr std::size_t ReadTimeoutMs = 5000;
constexpr std::string_view BearerPrefix = "Bearer ";

/// Reads one request, with a limit on its body, and responds to it.
class OperatorResponder : public cxxtools::http::Responder {
public:
  OperatorResponder(cxxtools::http::Service &Owner, IOperatorHandler &Handler,
                    std::size_t MaxBodyBytes)
      : Responder(Owner), Handler(Handler), MaxBodyBytes(MaxBodyBytes) {}

  void beginRequest(cxxtools::net::TcpSocket &, std::istream &,
                    cxxtools::http::Request &) override {
    this->Body.clear();
    this->TooLarge = false;
  }

  std::size_t readBody(std::istream &In) override {
    const std::streamsize Available = In.rdbuf()->in_avail();
    std::vector<char> Chunk(Available > 0 ? static_cast<std::size_t>(Available)
                                          : 0);
    In.read(Chunk.data(), Available);
    const auto BytesRead = static_cast<std::size_t>(In.gcount());
    // The rest is read and discarded, so that the response can be sent.
    if (this->Body.size() + BytesRead > this->MaxBodyBytes)
      this->TooLarge = true;
    else
      this->Body.append(Chunk.data(), BytesRead);
    return BytesRead;
  }

  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override {
    const OperatorResponse Answer = this->handleRequest(Request);
    Reply.httpReturn(Answer.Status, Answer.Status < 400 ? "OK" : "Error");
    Reply.setHeader("Content-Type", Answer.ContentType.c_str());
    Out << Answer.Body;
  }

private:
  OperatorResponse handleRequest(cxxtools::http::Request &Request) {
    if (this->TooLarge)
      return {413, ProblemContentType,
              renderProblem({ErrorKind::BodyTooLarge,
                             "the request body exceeds the limit of " +
                                 std::to_string(this->MaxBodyBytes) + " bytes"},
                            {})};
    OperatorRequest Call;
    Call.Method = Request.method();
    Call.Path = Request.url();
    Call.Query = Request.qparams();
    Call.Body = this->Body;
    const char *Credentials = Request.getHeader("Authorization");
    if (Credentials != nullptr &&
        std::string_view(Credentials).starts_with(BearerPrefix))
      Call.Key = Credentials + BearerPrefix.size();
    return this->Handler.handle(Call);
  }

  IOperatorHandler &Handler;
  std::size_t MaxBodyBytes;
  std::string Body;
  bool TooLarge = false;
};

/// Creates a responder for each request.
class OperatorService : public cxxtools::http::Service {
public:
  OperatorService(IOperatorHandler &Handler, std::size_t MaxBodyBytes)
      : Handler(Handler), MaxBodyBytes(MaxBodyBytes) {}

protected:
  cxxtools::http::Responder *
  createResponder(const cxxtools::http::Request &) override {
    return new OperatorResponder(*this, this->Handler, this->MaxBodyBytes);
  }
  void releaseResponder(cxxtools::http::Responder *Done) override {
    delete Done;
  }

private:
  IOperatorHandler &Handler;
  std::size_t MaxBodyBytes;
};

} // namespace

struct OperatorServer::Impl {
  OperatorServerOptions Options;
  OperatorService Service;
  cxxtools::EventLoop Loop;
  std::unique_ptr<cxxtools::http::Server> Server;
  std::thread LoopThread;

  Impl(OperatorServerOptions Options, IOperatorHandler &Handler)
      : Options(std::move(Options)),
        Service(Handler, this->Options.MaxBodyBytes) {}
};

OperatorServer::OperatorServer(OperatorServerOptions Options,
                               IOperatorHandler &Handler)
    : Inner(std::make_unique<Impl>(std::move(Options), Handler)) {}

OperatorServer::~OperatorServer() { this->stop(); }

std::string OperatorServer::start() {
  try {
    Impl &State = *this->Inner;
    State.Server = std::make_unique<cxxtools::http::Server>(
        State.Loop, State.Options.Address, State.Options.Port);
    State.Server->minThreads(MinThreads);
    State.Server->maxThreads(State.Options.MaxThreads);
    State.Server->readTimeout(cxxtools::Milliseconds(ReadTimeoutMs));
    State.Server->addService(cxxtools::Regex(".*"), State.Service);
    State.LoopThread = std::thread([&State] { State.Loop.run(); });
    return "";
  } catch (const std::exception &Exception) {
    return Exception.what();
  }
}

void OperatorServer::stop() {
  if (!this->Inner->LoopThread.joinable())
    return;
  this->Inner->Loop.exit();
  this->Inner->LoopThread.join();
  this->Inner->Server.reset();
}

} // namespace sardinerill
