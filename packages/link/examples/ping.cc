// Two hubs in one process: the first sends "ping", the second answers "pong".

#include <future>
#include <iostream>

#include "coltsfoottide/link/link_hub.h"

namespace ct = coltsfoottide::link;

int main() {
  std::promise<std::string> answer;
  ct::LinkCallbacks caller_callbacks;
  caller_callbacks.on_message = [&](std::string it) { answer.set_value(std::move(it)); };
  caller_callbacks.on_down = [](const std::string& it) { std::cerr << it << " is down\n"; };
  auto caller = std::get<0>(ct::MakeNngLinkHub("127.0.0.1:0", caller_callbacks));

  std::unique_ptr<ct::LinkHub> peer;
  ct::LinkCallbacks peer_callbacks;
  peer_callbacks.on_message = [&](const std::string& /*it*/) {
    peer->Send(caller->endpoint(), "pong");
  };
  peer_callbacks.on_down = caller_callbacks.on_down;
  peer = std::get<0>(ct::MakeNngLinkHub("127.0.0.1:0", peer_callbacks));

  caller->Send(peer->endpoint(), "ping");
  std::cout << answer.get_future().get() << "\n";
  caller->Close();
  peer->Close();
}
