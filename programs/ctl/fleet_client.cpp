#include "programs/ctl/fleet_client.hpp"

#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/http_client.hpp"

namespace marigoldyard {

namespace {

constexpr Duration CallLimit = std::chrono::seconds(3);
constexpr std::size_t MaxPageBytes = 64UL << 20;

HttpCallRequest pageRequest(const std::string &Address,
                            const std::string &Target) {
  HttpCallRequest Request;
  Request.Address = Address;
  Request.Target = Target;
  Request.Limit = CallLimit;
  Request.MaxBodyBytes = MaxPageBytes;
  Request.ReuseConnection = false;
  return Request;
}

OperatorPage pageOf(const OperatorAddress &From, const HttpResult &Result) {
  OperatorPage Page{From, nullptr, {}};
  if (const auto *Failure = std::get_if<HttpFailure>(&Result)) {
    Page.Failure = Failure->Cause.message();
    return Page;
  }
  const auto &Response = std::get<HttpResponse>(Result);
  Page.Content = nlohmann::json::parse(Response.Body, nullptr, false);
  if (Response.Status != 200 || Page.Content.is_discarded()) {
    Page.Failure = "HTTP status " + std::to_string(Response.Status);
    Page.Content = nullptr;
  }
  return Page;
}

} // namespace

Expected<std::vector<Member>> readMembers(const std::string &VmList) {
  boost::asio::io_context Context;
  HttpClient Client(Context);
  HttpResult Answer = HttpFailure{};
  Client.call(pageRequest(VmList, "/vms"),
              [&](HttpResult Result) { Answer = std::move(Result); });
  Context.run();
  if (const auto *Failure = std::get_if<HttpFailure>(&Answer))
    return Failure->Cause;
  return parseVmList(std::get<HttpResponse>(Answer).Body);
}

std::vector<OperatorAddress>
operatorAddresses(const std::vector<Member> &Members, std::uint16_t Port) {
  std::vector<OperatorAddress> Result;
  Result.reserve(Members.size());
  for (const Member &Each : Members)
    Result.push_back({Each.Name, Each.Address + ":" + std::to_string(Port)});
  return Result;
}

std::vector<OperatorPage> readPages(const std::vector<OperatorAddress> &Daemons,
                                    const std::string &Target) {
  boost::asio::io_context Context;
  HttpClient Client(Context);
  std::vector<OperatorPage> Pages(Daemons.size());
  for (std::size_t I = 0; I < Daemons.size(); ++I)
    Client.call(pageRequest(Daemons[I].Address, Target),
                [&, I](const HttpResult &Result) {
                  Pages[I] = pageOf(Daemons[I], Result);
                });
  Context.run();
  return Pages;
}

} // namespace marigoldyard
