#ifndef EELGRASSTRACK_RPC_OPERATOR_API_H_
#define EELGRASSTRACK_RPC_OPERATOR_API_H_

#include "http/server.h"
#include "rpc/operator-backend.h"
#include "rpc/schema-validator.h"

namespace eelgrasstrack {

struct operator_api_options
{
  std::string secret;
  /// Address that announcements of the upstream must come from.
  std::string upstream_address;
};

/// The operators' RPC: checks the secret and the schema, calls the backend and
/// renders its answers.
class operator_api final : public http_handler
{
public:
  operator_api(operator_backend& aBackend, operator_api_options aOptions);

  void Handle(std::shared_ptr<http_exchange> aExchange) override;

private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  using handler = void (operator_api::*)(const exchange_ptr&,
                                         const std::string& aId);

  /// One RPC. `path` may hold `{id}` as one of its segments.
  struct rpc_definition
  {
    std::string_view method;
    std::string_view path;
    /// Schema of the body; empty if there is none.
    std::string_view schema;
    bool needs_secret;
    handler call;
  };

  static const std::vector<rpc_definition>& RpcDefinitions();
  bool Authorized(const http_request& aRequest) const;

  void Health(const exchange_ptr& aExchange, const std::string& aId);
  void Schema(const exchange_ptr& aExchange, const std::string& aId);
  void GetConfig(const exchange_ptr& aExchange, const std::string& aId);
  void Apply(const exchange_ptr& aExchange, const std::string& aId);
  void ListRollouts(const exchange_ptr& aExchange, const std::string& aId);
  void StartRollout(const exchange_ptr& aExchange, const std::string& aId);
  void GetRollout(const exchange_ptr& aExchange, const std::string& aId);
  void PauseRollout(const exchange_ptr& aExchange, const std::string& aId);
  void ResumeRollout(const exchange_ptr& aExchange, const std::string& aId);
  void RollBackRollout(const exchange_ptr& aExchange, const std::string& aId);
  void AnnounceUpstream(const exchange_ptr& aExchange, const std::string& aId);
  void Dump(const exchange_ptr& aExchange, const std::string& aId);
  void Metrics(const exchange_ptr& aExchange, const std::string& aId);
  void ChangeRollout(const exchange_ptr& aExchange,
                     const std::string& aId,
                     rollout_command aCommand);

  operator_backend& mBackend;
  operator_api_options mOptions;
  schema_validator mValidator;
};

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_RPC_OPERATOR_API_H_
